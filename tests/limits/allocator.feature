Feature: Permits that coordinators grant to gateways

  Gateways may use a permit at any moment of its lease. The permits that may be
  used in a window are therefore all permits that are valid in the window, also
  those that were granted before it.

  Scenario Outline: One coordinator grants no more permits in any window than the limit allows
    Given a limit of <limit> a second that was just reported
    When gateways request all permits they can get from one coordinator for 30 seconds
    Then in any 4 seconds gateways can send no more requests than the limit allows
    And permits are granted for all requests that the server accepts

    Examples:
      | limit |
      | 0.3   |
      | 1     |
      | 4     |
      | 20    |
      | 100   |

  Scenario Outline: Permits stay within the limit when another coordinator takes over
    The new coordinator begins while gateways still send requests to the old
    coordinator, for as long as it takes to detect the failure of a coordinator.
    Given a limit of <limit> a second that was just reported
    When gateways request all permits they can get from one coordinator for 10 seconds
    And another coordinator takes over, while the first coordinator gets requests for 1.3 seconds more
    Then in any 4 seconds gateways can send no more requests than the limit allows

    Examples:
      | limit |
      | 1     |
      | 4     |
      | 20    |
      | 100   |

  Scenario Outline: Two coordinators without a leader together stay within the limit
    A partitioned network has an owner of the server's domain on either side.
    Gateways on both sides reach the server.
    Given a limit of <limit> a second that was just reported
    When gateways request permits from two coordinators without a leader for 30 seconds
    Then in any 4 seconds gateways can send no more requests than the limit allows

    Examples:
      | limit |
      | 1     |
      | 4     |
      | 20    |
      | 100   |

  Scenario: Permits for a limit that was just reported are granted at once
    Given a limit of 4 a second that was just reported
    When gateways request all permits they can get from one coordinator for 0.1 seconds
    Then 3 permits were granted

  Scenario: Requests that no other server can take get the permits first
    Given a limit of 4 a second that was just reported
    When gateways request all permits they can get, and one gateway needs a permit every 0.35 seconds
    Then over 20 seconds that gateway gets all permits that it needs, and the others get the rest

  Scenario: Returned permits are granted again
    Given a limit of 4 a second that was just reported
    When a gateway returns 2 permits that it did not use
    Then another gateway gets 2 more permits at the same moment
