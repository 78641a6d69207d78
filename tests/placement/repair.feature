Feature: Placement and repair of replica groups

  Scenario: A spare of the same domain takes a lost member's place
    One VM of a replica dies and the whole replica stops. A free VM of the same
    fabric domain takes its place; the others keep their weights.
    Given a deployment with 6 engines a zone in domains of 6
    When a member of a group of "buda-hall" dies
    Then within 20 s the entries of "buda-hall" may use 2 replicas of their zone
    And the other member stayed in its group

  Scenario: A second loss right after a repair leaves no half group
    The VM that took a lost member's place dies within a second of the repair.
    The group is repaired once more; no VM stays behind in a group that cannot
    serve.
    Given a deployment with 8 engines a zone in domains of 8
    When a member of "buda-hall" dies and its replacement within a second of the repair
    Then within 25 s the entries of "buda-hall" may use 2 replicas of their zone
    And every VM of "buda-hall" in a group serves in it

  Scenario: A whole fabric domain goes dark
    All VMs of a domain vanish at once. The groups are formed anew in another
    domain, because a replica does not cross domains.
    Given a deployment with 8 engines a zone in domains of 4
    When domain "buda-hall-d0" goes dark
    And 6 s pass
    Then within 20 s the entries of "buda-hall" may use 2 replicas of their zone
    And every VM of "buda-hall" in a group serves in it

  Scenario: A zone that is cut off goes on repairing
    A zone is cut off for ten minutes. Its own VMs are repaired by its own
    control processes, and its callers are served all the time.
    Given a deployment in three zones
    When zone "buda-hall" is cut off
    And a member of a group of "buda-hall" dies
    Then within 20 s the entries of "buda-hall" may use 2 replicas of their zone
    When callers of "buda-hall" ask for 600 s
    Then at least 99 in 100 of them got their answer

  Scenario: A broken group does not hold its survivors for ever
    A member dies and no VM is free. After the time that operators chose the
    survivors are freed, because they serve nobody.
    Given a deployment that holds broken groups for 10 s
    When a member of a group of "buda-hall" dies
    And 2 s pass
    Then the survivor in "buda-hall" is still held
    When 15 s pass
    Then the survivor in "buda-hall" is free

  Scenario: A preset switch cuts no request in flight
    The maintenance preset stops all replicas while requests run. New ones are
    refused as not run; every one in flight gets its whole answer first.
    Given a deployment in three zones
    When requests run and the preset "maintenance" is switched to
    And 30 s pass
    Then all requests have their whole answer
    And no replica serves and every VM is free

  Scenario: A new version replaces the old one without a gap
    A service gets a new model version. New groups come up first where VMs
    are free; the old ones drain. Some replica serves all the time.
    Given a deployment with 8 engines a zone in domains of 8
    When the version of the service changes
    Then within 60 s all replicas hold the new version
    And some replica of each zone served all the time

  Scenario: The rate-limited weight store is asked by rank
    Both services start at once and only one group of a zone may load at a
    time. The more urgent service loads first.
    Given no deployment yet, only its processes
    When two services of different rank start with one load at a time
    Then the groups of the more urgent service were formed first

  Scenario: A group that fits no domain is refused when applied
    An operator asks for groups of 12 VMs where no fabric domain has more than
    6. Accepted, it would wait for ever; it is refused at once, saying why.
    Given a deployment in three zones
    When a service with groups of 12 VMs is applied
    Then the change is refused because it does not fit

  Scenario: A lower rank makes room when nothing is left
    The only group of the most urgent service loses a VM and nothing is free.
    A group of a lower rank is drained for it.
    Given a zone full of groups of two ranks
    When the group of the more urgent service loses a member
    Then within 60 s the more urgent service serves again

  Scenario: A whole zone is gone, and comes back
    All VMs of a zone vanish. After a minute the other zones run its replicas
    on their own free VMs. When it is back and has loaded, they give them back
    by draining: callers notice neither.
    Given a deployment with 8 engines a zone in domains of 8
    When zone "csepel-hall" vanishes with all its VMs
    And 90 s pass
    Then the zones that are left run 6 replicas
    When zone "csepel-hall" is back under traffic for 90 s
    Then each zone runs 2 replicas and every caller had its answer
