Feature: Loads from the weight store

  Scenario: An empty server does not wait for loads of servers that serve
    Servers of a zone serve one model and lack the other one, as after a restart
    of all coordinators. An empty server starts every 3 seconds, as others are
    lost. If all loaded at once, each load would take many times as long, and
    callers would find fewer replicas for most of a minute.
    Given a store that serves 7 loads at once, shared by 3 coordinators
    And each has 16 servers that serve and lack the other model
    When one of them gets an empty server every 3 seconds for a minute
    Then the empty servers hold their model within 17 seconds each

  Scenario: Concurrent loads stay within what the store serves at full speed
    Given a store that serves 7 loads at once, shared by 3 coordinators
    Then a coordinator with 5 loads reported elsewhere starts 3
    And a coordinator with 2 loads reported elsewhere starts 5
    And a coordinator without peers starts 7

  Scenario: Loads that a group waits for start first
    A group lacks two servers and another one lacks one. A standby is empty. A
    serving server lacks the other model; with the loads for these three in
    progress it must wait.
    Given a store that serves 7 loads at once, shared by 3 coordinators
    Then loads start in this order: for the second group, the first group, the standby; no others start

  Scenario: A load order without a response is sent again
    The order to stage a model is lost. Without a second order the server would
    stay empty for the rest of its incarnation. A server that did accept the
    first one has counted it, so it refuses the second one.
    Given a planner whose order to an empty server gets no response
    Then the order is sent again after 2 seconds, with the same number
    And not while an accepted load is in progress

  Scenario: Every coordinator has a record of which servers load
    A server does not report that it loads. The coordinator that ordered the
    load restarts, and another one may be the owner meanwhile. Either would
    start more loads than the store serves at full speed, and all would take
    longer.
    Given three coordinators, one of which ordered an empty server to load
    When it restarts with what its disk holds
    Then all three list the server as loading until it reports the model

  Scenario: A server that is lost while it loads makes room for others
    Three servers load, as many as the store serves at full speed, and two of
    them are lost. They stay listed for a while. If they counted, no other server
    would load in that time, and empty servers would stay idle.
    Given a planner of five empty servers and a store that serves 3 loads at once
    When three of them load and two of these are lost
    Then the other two are ordered to load

  Scenario: A server loads for the group that can serve first
    A domain has two empty servers left, and one that has the small model. A
    large group would need three loads, of which only few may start; a small
    group needs one.
    Given a store that serves 7 loads at once, shared by 3 coordinators
    When a load is requested for a group that lacks 3 and one that lacks 1
    Then the server loads for the group that lacks 1
