Feature: Loads from the weight store

  Scenario: A server that comes empty does not wait for those that serve
    Servers of a zone serve one model and lack the other one, as after a restart
    of all coordinators. Empty ones come every 3 seconds, as others are lost. If
    all loaded at once, each load would take many times as long, and callers
    would find fewer replicas for most of a minute.
    Given a store that serves 7 loads at once, shared by 3 coordinators
    And each has 16 servers that serve and lack the other model
    When one of them gets an empty server each 3 seconds for a minute
    Then the empty servers hold their model within 17 seconds each

  Scenario: Loads at once stay within what the store serves at full speed
    Given a store that serves 7 loads at once, shared by 3 coordinators
    Then one that is told of 5 loads elsewhere starts 3
    And one that is told of 2 loads elsewhere starts 5
    And one that hears of no other starts 7

  Scenario: What a group waits for is loaded first
    A group lacks two servers and another one lacks one. A standby is empty. One
    that serves lacks the other model; three loads are under way by then.
    Given a store that serves 7 loads at once, shared by 3 coordinators
    Then loads start for the second group, the first, the standby, no other

  Scenario: A load that nobody answered for is ordered again
    The order to stage a model is lost on its way. The server would stay empty
    for the rest of its life. A server that took it after all counts it, so it
    refuses the second one.
    Given a planner whose order to an empty server gets no answer
    Then the order is given again after 2 seconds, with the same number
    And not while an answered load goes on

  Scenario: Every coordinator knows which servers load
    A server does not tell that it loads. The coordinator that ordered it
    restarts; another one may be in charge meanwhile. Either would start more
    loads than the store serves at full speed, and all would take longer.
    Given three coordinators, one of which had an empty server load
    When it restarts with what its disk holds
    Then all three know that the server loads, until it tells the model

  Scenario: A server that is lost while it loads makes room for others
    Three servers load, as many as the store serves at full speed, and two of
    them are lost. They stay known for a while. Did they count, nobody else
    would load for that time, and empty servers would stand idle.
    Given a planner of five empty servers and a store that serves 3 loads at once
    When three of them load and two of these are lost
    Then the other two are told to load

  Scenario: A server loads for the group that can serve first
    Two empty servers are all that is left of a domain, beside one that has the
    small model. A large group would take three loads, which are scarce, a small
    one takes one.
    Given a store that serves 7 loads at once, shared by 3 coordinators
    When a server is wanted for a group that lacks 3 and for one that lacks 1
    Then it loads for the one that lacks 1
