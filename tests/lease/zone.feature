Feature: The zone lease and fencing numbers

  Scenario: Two holders never give orders at the same time
    The holder of a zone's lease is paused and still believes that it holds
    it. Another one takes over after the term; when the first one wakes up, it
    gives no more orders, because it checks its lease before each.
    Given a deployment in three zones
    When the holder of "buda-hall" is paused for 30 s
    Then another one gives orders within 8 s
    When 40 s pass
    Then one process gives orders in "buda-hall"

  Scenario: A restarted grantor stays silent for a term
    A grantor restarts and has forgotten whom it promised the lease. It stays
    silent for a whole term, so no second holder can get a majority with it.
    Given a deployment in three zones
    When two control processes of "buda-hall" restart, not its holder
    And 0.5 s pass
    Then the same process holds the lease of "buda-hall" until 3 s have passed

  Scenario: A zone that restarts as a whole takes a higher number
    All control processes of a zone restart and nobody remembers the fencing
    number. Servers and entries tell it, and the new holder takes one above,
    or servers that check would refuse its orders for good.
    Given a deployment whose engines check fencing numbers
    When all control processes of zone "buda-hall" restart at once
    Then within 12 s one process holds a number above the old one
    When a member of a group of "buda-hall" dies
    Then within 20 s the entries of "buda-hall" may use 2 replicas of their zone

  Scenario: A new holder takes running groups over
    A zone's holder dies. The new one adopts the groups that the servers say
    they belong to; it must not rebuild them, which would stop what runs.
    Given a deployment in three zones
    When the holder of "buda-hall" is killed
    And 20 s pass
    Then no order was given in "buda-hall" since

  Scenario: Candidates that refuse each other do not go on for ever
    The holder is lost while two candidates wait. Each promises the lease to
    itself first and refuses the other. A round that fails gives its promise
    back, so that one of them gets it.
    Given a deployment in three zones
    Then the lease moves within 7 s, for 20 different random spreads

  Scenario: An order that comes after its lease does not split a group
    An order is under way for 9 s, longer than the lease of its holder, which
    is lost meanwhile. Engines that ignore fencing numbers carry it out. The
    VM then announces a group that the new holder does not know, and is freed.
    Given a deployment whose engines ignore fencing numbers
    When a late order of a lost holder takes a free VM of "buda-hall"
    Then that VM is freed within 15 s and never served

  Scenario: A server that checks refuses an order of a lost holder
    The same late order reaches a server that checks the number. The server
    has seen a higher one and refuses it.
    Given a deployment whose engines check fencing numbers
    When a server of "buda-hall" has seen a higher number than an order carries
    Then it refuses that order
