Feature: Loads from the weight store

  Scenario: An empty server does not wait for loads of servers that serve
    Servers of a zone serve one model and lack the other one, as after a restart
    of all coordinators. An empty server starts every 3 seconds, as others are
    lost. If all servers loaded at once, each load would take many times as
    long, and callers would find fewer replicas for most of a minute.
    Given a store that serves 7 loads at once, shared by 3 coordinators
    And each coordinator has 16 servers that serve and lack the other model
    When one coordinator gets an empty server every 3 seconds for a minute
    Then each empty server holds its model within 17 seconds

  Scenario: Concurrent loads stay within what the store serves at full speed
    Given a store that serves 7 loads at once, shared by 3 coordinators
    Then a coordinator with 5 loads reported elsewhere starts 3
    And a coordinator with 2 loads reported elsewhere starts 5
    And a coordinator without peers starts 7

  Scenario: Loads that a group waits for start first
    The first group lacks two servers, the second group lacks one server. A
    standby is empty. A serving server lacks the other model; it must wait while
    the loads for the groups and the standby are in progress.
    Given a store that serves 7 loads at once, shared by 3 coordinators
    Then loads start in this order: for the second group, the first group, the standby; no others start

  Scenario: A load order without a response is sent again
    The order to stage a model is lost. Without a second order the server would
    stay empty for the rest of its incarnation. A server that did accept the
    first order has counted it, so it refuses the second order.
    Given a planner whose order to an empty server gets no response
    Then the order is sent again after 2 seconds, with the same number
    And the order is not sent again while an accepted load is in progress

  Scenario: Every coordinator has a record of which servers load
    A server does not report that it loads. The coordinator that ordered the
    load restarts, and another coordinator may be the owner meanwhile. Without
    the record, either would start more loads than the store serves at full
    speed, and all loads would take longer.
    Given three coordinators, one of which ordered an empty server to load
    When that coordinator restarts with what its disk holds
    Then all three list the server as loading until it reports the model

  Scenario: A server that is lost while it loads makes room for other loads
    Three servers load, as many as the store serves at full speed, and two of
    the three are lost. The lost servers stay listed for a while. If their loads
    counted, no other server would load in that time, and empty servers would
    stay idle.
    Given a planner of five empty servers and a store that serves 3 loads at once
    When three of the servers load and two of these three are lost
    Then the other two servers are ordered to load

  Scenario: A server loads for the group that can serve first
    A domain has two empty servers left, and one server that has the small
    model. A large group would need three loads, of which only a few may start;
    a small group needs one load.
    Given a store that serves 7 loads at once, shared by 3 coordinators
    When one server's load is requested for a group that lacks 3 and one that lacks 1
    Then the server loads for the group that lacks 1
