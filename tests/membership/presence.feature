Feature: Which backend servers are present

  Scenario: An entry that dies takes no server with it
    The entry that hears a server's announcements dies. The server announces
    to the next one. Meanwhile it is neither present nor lost, so nothing is
    repaired and nothing in flight at other entries is cut.
    Given a deployment in three zones
    When the entries of "buda-hall" die and return, one after another
    Then no group of "buda-hall" was rebuilt

  Scenario: A server that paused is told from one that is slow
    A server is paused for 2 s and keeps its group. Another one is paused for
    30 s: its group is repaired without it, and when it wakes up and still
    claims its place, it is freed.
    Given a deployment in three zones
    When a member of "buda-hall" is paused for 2 s
    And 8 s pass
    Then no group of "buda-hall" was rebuilt
    When a member of "buda-hall" is paused for 30 s
    Then within 20 s the entries of "buda-hall" may use 2 replicas of their zone
    When 40 s pass
    Then the paused member belongs to no group of which it is not part

  Scenario: Lost reports are noticed by the digest
    Reports of servers that came and went are lost. The digest that each entry
    sends does not match what the control process knows, so it asks for all.
    Given a deployment in three zones
    When half of all messages are lost while a domain of "buda-hall" restarts
    And 15 s pass
    Then the control processes of "buda-hall" know exactly the servers present

  Scenario: A server that leaves gets no new work
    A server announces that it leaves while requests run on it. Within 4 s no
    new work reaches its group, what runs there ends, and then it is free.
    Given a deployment in three zones
    When requests run and a server of "buda-hall" announces that it leaves
    And 20 s pass
    Then all requests have their whole answer
    And the leaving server is in no group
