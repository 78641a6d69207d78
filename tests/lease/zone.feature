Feature: The zone lease and fencing numbers

  Scenario: Two holders never issue orders at the same time
    The holder of a zone's lease is paused, and another process takes over
    after the term. The paused holder must issue no more orders after it
    continues: it checks its lease before each order.
    Given a deployment in three zones
    When the holder of "buda-hall" is paused for 30 s
    Then another process issues orders within 8 s
    When 40 s pass
    Then one process issues orders in "buda-hall"

  Scenario: A restarted grantor does not grant the lease for one term
    A grantor that restarts has lost its record of the lease that it granted.
    It grants nothing for a full term, so no second holder can get a majority
    with it.
    Given a deployment in three zones
    When two control processes of "buda-hall" restart, but not its lease holder
    And 0.5 s pass
    Then the same process holds the lease of "buda-hall" until 3 s have passed

  Scenario: A zone gets a higher fencing number after all its control processes restart
    All control processes of a zone restart and lose the fencing number.
    Servers and entries report it, and the new holder must use a higher one, or
    servers that check fencing numbers would refuse its orders for good.
    Given a deployment whose engines check fencing numbers
    When all control processes of zone "buda-hall" restart at the same time
    Then within 12 s one process holds a fencing number above the previous one
    When a member of a group of "buda-hall" dies
    Then within 20 s the entries of "buda-hall" may use 2 replicas of their zone

  Scenario: A new lease holder adopts running groups
    A zone's lease holder is killed. The new holder adopts the groups that the
    servers report; it must not rebuild them, which would abort their requests.
    Given a deployment in three zones
    When the holder of "buda-hall" is killed
    And 20 s pass
    Then no order is issued in "buda-hall" after the kill

  Scenario: Two candidates for the lease do not refuse each other for ever
    The holder is lost while two candidates wait. Each grants the lease to
    itself first and refuses the other. A candidate revokes its own grant after
    a failed round, so that one of them gets the lease.
    Given a deployment in three zones
    Then another process gets the lease within 7 s, for 20 random seeds

  Scenario: An order that arrives after its lease ended does not split a group
    An order is in flight for 9 s, longer than the lease of the holder that
    issued it. The holder is lost in the meantime. Engines that ignore fencing
    numbers carry it out. The VM then announces a group that the new holder has
    no record of, and must be freed.
    Given a deployment whose engines ignore fencing numbers
    When a late order of a lost holder assigns a free VM of "buda-hall"
    Then that VM is freed within 15 s and never served

  Scenario: A server that checks fencing numbers refuses a lost holder's order
    The same late order reaches a server that checks fencing numbers. The server
    has received a higher number and must refuse the order.
    Given a deployment whose engines check fencing numbers
    When a server of "buda-hall" has a higher fencing number than an order
    Then the server refuses the order with the lower number
