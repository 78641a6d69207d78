Feature: Which backend servers are present

  Scenario: Servers that announce to an entry that dies are not treated as lost
    The entry that receives a server's announcements dies, and the server
    announces to the next entry. In the meantime the server is neither present
    nor lost, so no group is repaired and no request in flight at other entries
    aborted.
    Given a deployment in three zones
    When the entries of "buda-hall" are killed and restarted, one after another
    Then no group of "buda-hall" was rebuilt

  Scenario: A server that is paused briefly is not treated as lost
    A server is paused for 2 s and keeps its group. Another server is paused
    for 30 s: its group is repaired without it, and when it continues and still
    announces its old rank, it is freed.
    Given a deployment in three zones
    When a member of "buda-hall" is paused for 2 s
    And 8 s pass
    Then no group of "buda-hall" was rebuilt
    When a member of "buda-hall" is paused for 30 s
    Then within 20 s the entries of "buda-hall" may use 2 replicas of their zone
    When 40 s pass
    Then the paused member is in no group that was rebuilt without it

  Scenario: The digest of an entry reveals lost reports of its servers
    Reports of new and lost servers are dropped by the network. The digest that
    each entry sends then does not match the states at the control process,
    which requests all of them again.
    Given a deployment in three zones
    When half of all messages are lost while a domain of "buda-hall" restarts
    And 15 s pass
    Then the control processes of "buda-hall" list exactly the servers present

  Scenario: A server that is leaving gets no new requests
    A server announces that it is leaving while requests run on it. Within 4 s
    its group gets no new requests, the running requests complete, and then the
    server is free.
    Given a deployment in three zones
    When requests run and a server of "buda-hall" announces that it is leaving
    And 20 s pass
    Then all requests have their complete response
    And the leaving server is in no group
