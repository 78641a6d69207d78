Feature: Permits that coordinators grant

  Gateways may use a permit at any moment of its lease. The permits that may be
  used in a window are therefore all that are valid in it, also those that were
  granted before it.

  Scenario Outline: One coordinator grants no more than any window allows
    Given a limit of <limit> a second that was just reported
    When gateways request all they can get from one coordinator for 30 seconds
    Then no window of 4 seconds has more requests than the limit allows
    And all that the server accepts is granted

    Examples:
      | limit |
      | 0.3   |
      | 1     |
      | 4     |
      | 20    |
      | 100   |

  Scenario Outline: A coordinator that takes over grants nothing twice
    The new one begins while the gateways of the old one still send it requests,
    for as long as it takes to detect the failure of a coordinator.
    Given a limit of <limit> a second that was just reported
    When gateways request all they can get from one coordinator for 10 seconds
    And another one takes over, while the first gets requests for 1.3 seconds more
    Then no window of 4 seconds has more requests than the limit allows

    Examples:
      | limit |
      | 1     |
      | 4     |
      | 20    |
      | 100   |

  Scenario Outline: Coordinators without a leader share the limit
    A partitioned network has an owner of the server's domain on either side.
    Gateways on both sides reach the server.
    Given a limit of <limit> a second that was just reported
    When gateways request from two coordinators without a leader for 30 seconds
    Then no window of 4 seconds has more requests than the limit allows

    Examples:
      | limit |
      | 1     |
      | 4     |
      | 20    |
      | 100   |

  Scenario: Permits for a limit that was just reported are granted at once
    Given a limit of 4 a second that was just reported
    When gateways request all they can get from one coordinator for 0.1 seconds
    Then 3 permits were granted

  Scenario: Requests that no other server can take get the permits first
    Given a limit of 4 a second that was just reported
    When gateways request all they can get, and one needs one every 0.35 seconds
    Then over 20 seconds that one gets all it needs, and the others the rest

  Scenario: Returned permits are granted again
    Given a limit of 4 a second that was just reported
    When a gateway returns 2 permits that it did not use
    Then another one gets 2 more at the same moment
