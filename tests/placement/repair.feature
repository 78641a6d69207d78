Feature: Placement and repair of replica groups

  Scenario: A spare of the same domain replaces a lost member
    One VM of a replica dies, which stops the replica. A free VM of the same
    fabric domain replaces it; the other members keep their weights.
    Given a deployment with 6 engines a zone in domains of 6
    When a member of a group of "buda-hall" dies
    Then within 20 s the entries of "buda-hall" may use 2 replicas of their zone
    And the other member stayed in its group

  Scenario: A second loss right after a repair leaves no incomplete group
    The VM that replaced a lost member dies within a second of the repair. The
    group is repaired again; no VM remains in a group that cannot serve.
    Given a deployment with 8 engines a zone in domains of 8
    When a member of "buda-hall" dies and its replacement dies within a second of the repair
    Then within 25 s the entries of "buda-hall" may use 2 replicas of their zone
    And every VM of "buda-hall" that is in a group serves

  Scenario: Groups of a failed fabric domain are formed again in another domain
    All VMs of a domain fail at once. The groups are formed again in another
    domain, because a replica does not span domains.
    Given a deployment with 8 engines a zone in domains of 4
    When all VMs of domain "buda-hall-d0" fail
    And 6 s pass
    Then within 20 s the entries of "buda-hall" may use 2 replicas of their zone
    And every VM of "buda-hall" that is in a group serves

  Scenario: A partitioned zone continues to repair its groups
    A zone is partitioned from the others for ten minutes. Its control processes
    repair its groups, and its callers are served all the time.
    Given a deployment in three zones
    When zone "buda-hall" is isolated
    And a member of a group of "buda-hall" dies
    Then within 20 s the entries of "buda-hall" may use 2 replicas of their zone
    When callers of "buda-hall" send requests for 600 s
    Then at least 99 in 100 of their requests succeeded

  Scenario: A broken group does not hold its surviving members for ever
    A member dies and no VM is free. After a time that the operators chose, the
    surviving members are released, because they serve no requests.
    Given a deployment that holds broken groups for 10 s
    When a member of a group of "buda-hall" dies
    And 2 s pass
    Then the surviving member in "buda-hall" is still in its group
    When 15 s pass
    Then the surviving member in "buda-hall" is free

  Scenario: A switch to another preset does not abort requests in flight
    The maintenance preset stops all replicas while requests run. New requests
    are refused as not run; each request in flight first gets its complete
    response.
    Given a deployment in three zones
    When an operator switches to the preset "maintenance" while requests run
    And 30 s pass
    Then all requests have their complete response
    And no replica serves and every VM is free

  Scenario: A new model version replaces the old version without downtime
    A service gets a new model version. New groups are formed first where VMs
    are free, then the old groups drain. At least one replica serves at any time.
    Given a deployment with 8 engines a zone in domains of 8
    When the version of the service changes
    Then within 60 s all replicas hold the new version
    And each zone had a serving replica all the time

  Scenario: Groups of the more urgent service load their weights first
    Two services start at once. The weight store is rate-limited, so only one
    group of a zone may load at a time.
    Given the processes of a deployment that is not bootstrapped
    When two services of different rank start with one load at a time
    Then the groups of the more urgent service were formed first

  Scenario: A service whose groups fit no domain is refused when it is applied
    An operator requests groups of 12 VMs, but no fabric domain has more than 6.
    If the change were accepted, the groups would never be formed. It is refused
    at once, with the reason.
    Given a deployment in three zones
    When a service with groups of 12 VMs is applied
    Then the change is refused because it does not fit

  Scenario: A less urgent group is drained if a more urgent group finds no free VM
    The only group of the most urgent service loses a VM and no VM is free. A
    group of a less urgent service is drained to make room for it.
    Given a zone full of groups of two ranks
    When the group of the more urgent service loses a member
    Then within 60 s the more urgent service serves again

  Scenario: Other zones run the replicas of a lost zone until it returns
    All VMs of a zone fail. After a minute the other zones run its replicas on
    their own free VMs. When the zone has returned and loaded, they drain these
    replicas. No request fails because of either change.
    Given a deployment with 8 engines a zone in domains of 8
    When all processes and VMs of zone "csepel-hall" fail
    And 90 s pass
    Then the remaining zones run 6 replicas
    When zone "csepel-hall" returns and traffic runs for 90 s
    Then each zone runs 2 replicas and every request succeeded
