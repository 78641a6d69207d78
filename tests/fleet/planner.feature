Feature: The planner of replica groups

  Scenario: Random schedules of two planners violate no invariant
    Two planners both act as the owner of one domain. Heartbeats arrive late or
    not at all, orders are lost or carried out seconds later, servers crash and
    are replaced. No group may serve unless each member was ready with the
    group's member list, and no server may join another group while its head
    serves.
    Then 120 random schedules of two planners violate no invariant

  Scenario: Random schedules with server restarts violate no invariant
    Servers also crash and restart under the same id. Orders to the previous
    incarnation may reach the new one, and its heartbeats may arrive late.
    Then 120 random schedules with server restarts violate no invariant

  Scenario: Schedules that once violated an invariant violate none now
    Schedules 7 and 986: a join carried a newly reported number of accepted
    orders but relied on an older heartbeat. Schedule 621: a restarted planner
    gave a new group the name of a group that was gone. Schedule 35024: a join
    was sent again to a server whose heartbeats did not reach the planner; the
    server responded that it was already in the group, and the planner cleared
    the order. The next join took the server out of a group that served.
    Then the schedules 7, 621, 986 and 35024 violate no invariant

  Scenario: A late order to a previous incarnation of a server violates no invariant
    The server restarted under the same id and has accepted as many orders
    since as the late order expects.
    Then the schedule 976 with server restarts violates no invariant

  Scenario: Joins without the number of accepted orders violate an invariant
    The random schedules run with joins that carry no number of accepted orders.
    A join that was delayed for seconds then takes a server out of a group that
    serves.
    Then the schedules violate an invariant if joins carry no number

  Scenario: Heads that open before their members are ready violate an invariant
    The random schedules run with heads that are opened before the members
    reported that they are ready.
    Then the schedules violate an invariant if heads open before their members are ready

  Scenario Outline: A domain with enough servers gets one group of each model first
    Given a domain of <alive> servers in which <scarce> is scarce
    Then its layout has <large> large and <small> small groups

    Examples:
      | alive | scarce | large | small |
      | 8     | none   | 1     | 1     |
      | 7     | none   | 1     | 1     |
      | 6     | none   | 1     | 1     |
      | 5     | large  | 1     | 0     |
      | 5     | small  | 0     | 2     |
      | 3     | none   | 0     | 1     |
      | 1     | none   | 0     | 0     |

  Scenario: A group that can serve now is formed before a group that must load
    A domain lost both its groups. The small model is scarcer, but only one
    server has it in memory, and a small group's second server must load for
    12 s. That one server has the large model staged, which three others have in
    memory: these four can serve at once.
    Given a domain with 3 servers with the large model in memory, 1 with the small one and 2 empty servers
    Then a group of the large model is formed at once

  Scenario: A planner that restarts never uses a group's name again
    A planner formed a group that is gone except for one member, which is
    partitioned and still reports that it is ready in the group. The planner
    restarts.
    If it gave its next group the same name and epoch, that member would count
    as a member of the new group, which would serve without being complete.
    Given a planner that formed a group, lost it and restarted
    Then the planner's next group has another name and a higher epoch

  Scenario: Loads stay within the weight store's limit
    Twelve empty servers start at once after traffic began. The store allows 4
    loads a second over three zones, so one zone starts at most 6 in 5 s.
    Then a zone with 12 empty servers starts at most 6 loads in 5 seconds

  Scenario: Free servers serve another model while a missing model loads
    A domain lost its large group. Two servers are empty and must load for it;
    four others have the small model in memory. The four servers must not stay
    idle for the 16 s of the load just because the large group comes first.
    Given a domain with one small group, 4 free servers with the small model in memory and 2 empty servers
    Then two more small groups are formed, and the empty servers load the large model

  Scenario: A missing group takes the servers of several other groups
    A domain has three small groups and should have one large and one small
    group. All servers have the large model staged. One small group has too few
    servers for a large group, so two small groups are retired once their
    requests are completed.
    Given a domain with three small groups that have the large model staged
    Then two small groups are retired
    And a large group is formed once the retired groups have ended

  Scenario: Free servers are reserved for a group that other servers will complete
    A small group is retired for the missing large one and still has requests
    for some seconds. Other servers are free. If these were used for something
    else meanwhile, the large group would be missing again.
    Given a domain where a small group is retired to complete a large one
    Then no group is formed from the free servers

  Scenario: A restarted planner counts loads in progress
    A planner ordered three empty servers to load and restarted. It does not
    list these loads and orders them again; the servers refuse, as they have
    accepted an order. If the planner ordered the loads once more with another
    number of accepted orders, each load would take twice as long.
    Given a planner whose load orders are refused by three empty servers
    Then the planner counts 3 loads in progress and orders none of them again
