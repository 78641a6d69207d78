Feature: Departures that were acknowledged

  Scenario Outline: An acknowledged departure outlasts the end of all processes
    The servers were saved less than a second before, so not with the departure.
    Given three coordinators with gateways and a plain server that has just been saved
    When the server <report> and gets its acknowledgement
    And <delay> seconds later all processes end, <loss>, and start again <order>
    Then no gateway offers the server

    Examples:
      | report      | delay | loss                                  | order                                |
      | deregisters | 0     | their disks are kept                  | together                             |
      | deregisters | 0.1   | their disks are kept                  | together                             |
      | deregisters | 0.3   | their disks are kept                  | together                             |
      | deregisters | 0.7   | their disks are kept                  | together                             |
      | deregisters | 1     | their disks are kept                  | together                             |
      | deregisters | 2     | their disks are kept                  | together                             |
      | drains      | 0     | their disks are kept                  | together                             |
      | drains      | 0.3   | their disks are kept                  | together                             |
      | drains      | 0.9   | their disks are kept                  | together                             |
      | deregisters | 0     | the disk that was told first is lost  | together                             |
      | deregisters | 0.3   | the disk that was told first is lost  | together                             |
      | drains      | 0     | the disk that was told first is lost  | together                             |
      | deregisters | 0.3   | their disks are kept                  | the coordinator that was told last   |
      | deregisters | 0.3   | their disks are kept                  | the gateways last                    |
      | deregisters | 0.3   | their disks are kept                  | the gateways first                   |
      | drains      | 0.3   | the disk that was told first is lost  | the coordinator that was told last   |

  Scenario: A departure is not acknowledged before it is on disk
    Given three coordinators with gateways and a plain server that has just been saved
    When the server deregisters at a coordinator whose disk takes 0.2 seconds
    Then it gets its acknowledgement when the departure is on disk

  Scenario: A departure that no disk has is not acknowledged
    Given three coordinators with gateways and a plain server that has just been saved
    When the server deregisters at a coordinator that is cut off and whose disk fails
    Then it is told to call again

  Scenario: A departure is acknowledged in time by a coordinator that is cut off
    Given three coordinators with gateways and a plain server that has just been saved
    When the server deregisters at a coordinator that is cut off
    Then it gets its acknowledgement within 0.5 seconds

  Scenario: A departure reported to a coordinator that does not know the server is kept
    Given three coordinators with gateways and a plain server that has just been saved
    When the server deregisters at a coordinator that started without its disk
    Then no gateway offers the server

  Scenario: Many departures at once are acknowledged in time with few syncs
    When 300 servers leave a coordinator process at once
    Then each is on disk before its acknowledgement
    And there were at most 3 syncs

  Scenario Outline: Departures on disk are read again after <fault>
    When departures are written and <fault>
    Then the departures that were acknowledged are read again

    Examples:
      | fault                         |
      | nothing else                  |
      | the last record is torn       |
      | one write fails in the middle |
      | a save clears those before    |

  Scenario: A damaged file of departures does not keep a coordinator from starting
    When departures are written and their first record is damaged
    Then the damage is reported and later departures are written
