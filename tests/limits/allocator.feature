Feature: The permits that coordinators give out

  Gateways may use a permit at any moment of its lease. So all that are valid in
  a window may be used in it: those that were given out before it, too.

  Scenario Outline: One coordinator gives out no more than any window allows
    Given a limit of <limit> a second that has just been named
    When gateways ask one coordinator for all they can get for 30 seconds
    Then no window of 4 seconds sees more requests than the limit allows
    And all that the server takes is given out

    Examples:
      | limit |
      | 0.3   |
      | 1     |
      | 4     |
      | 20    |
      | 100   |

  Scenario Outline: A coordinator that takes over gives out nothing twice
    The new one begins while the gateways of the old one still ask that, for as
    long as it takes to find a coordinator lost.
    Given a limit of <limit> a second that has just been named
    When gateways ask one coordinator for all they can get for 10 seconds
    And another one takes over, while the first is asked for 1.3 seconds more
    Then no window of 4 seconds sees more requests than the limit allows

    Examples:
      | limit |
      | 1     |
      | 4     |
      | 20    |
      | 100   |

  Scenario Outline: Coordinators that hear no leader share the limit
    A network that is cut in the middle has a coordinator in charge on either
    side, and gateways that reach the server on both.
    Given a limit of <limit> a second that has just been named
    When gateways ask two coordinators without a leader for 30 seconds
    Then no window of 4 seconds sees more requests than the limit allows

    Examples:
      | limit |
      | 1     |
      | 4     |
      | 20    |
      | 100   |

  Scenario: A limit that was just named is served from the first moment
    Given a limit of 4 a second that has just been named
    When gateways ask one coordinator for all they can get for 0.1 seconds
    Then 3 permits were given out

  Scenario: Requests with nowhere else to go get the permits
    Given a limit of 4 a second that has just been named
    When gateways ask for all they can get, and one needs one each 0.35 seconds
    Then over 20 seconds that one gets all it needs, and the others the rest

  Scenario: Permits that come back are given out again
    Given a limit of 4 a second that has just been named
    When a gateway gives 2 permits back that it did not use
    Then another one gets 2 more at the same moment
