Feature: What runs say about the parts of prompts

  Scenario Outline: A run that its server survived proves its parts sound
    Given a gateway with 3 replicas of each kind
    When a stream with shared parts <event>
    Then its parts are sound

    Examples:
      | event                                       |
      | has output for 0.6 seconds                  |
      | completes, and its server lives on for 1.1 seconds |
      | completes without framing, and its server lives on for 5.1 seconds |

  Scenario Outline: A run that its server may not have survived proves nothing
    Given a gateway with 3 replicas of each kind
    When a stream with shared parts <event>
    Then its parts are not sound

    Examples:
      | event                                       |
      | has its first output                        |
      | completes, and its server lives on for 0.9 seconds |
      | completes without framing, and its server lives on for 1.1 seconds |
      | completes without framing, and its server is lost after 2.0 seconds |
      | loses its caller after the first output     |
      | completes, and the gateway is then 2 seconds late |

  Scenario Outline: A run that its server did not survive is reported with its parts
    Given a gateway with 3 replicas of each kind
    When a stream with shared parts <event>
    Then the gateway reports that its server may have ended under its parts

    Examples:
      | event                                       |
      | is reset before its first output            |
      | is reset after its first output             |
      | is reset together with another              |
      | completes without framing, and its server is lost after 2.0 seconds |
      | completes without framing, and its server refuses connections |
      | loses its caller after the first output, and its server is lost |

  Scenario: A part that other runs have just proved sound is not reported
    Given a gateway with 3 replicas of each kind
    When a stream has output for 0.6 seconds and another one with its parts is reset
    Then the gateway reports no server that may have ended under these parts

  Scenario: A long list of parts costs and reports a bounded amount
    Given a gateway with 3 replicas of each kind
    When 300 runs with 64 parts each are lost at each of 300 servers
    Then the gateway keeps lost runs of 256 servers, 64 each, in less than 32 MB

  Scenario: A flood of new parts cannot push out a part that crashed servers
    Given a trait history in which a part crashed 3 servers
    When 9000 runs with new parts are lost at 300 other servers
    Then the part is still blocked
    And the history takes less than 8 MB

  Scenario: Servers that end together count once against their parts
    Given an empty trait history
    When 5 servers end at the same moment under runs with a part
    Then no trait is blocked or suspected

  Scenario: Histories that are merged in any order are the same
    Given an empty trait history
    When 200 random reports are merged in 5 random orders
    Then all these histories have the same digest and block the same traits

  Scenario: A block that is reported again with its saved age does not last longer
    Given a trait history in which a part crashed 3 servers
    When a node reports the saved lost runs each 10 seconds
    Then the part is blocked for 60 seconds and suspected until 120

  Scenario Outline: The more servers ended under a part, the longer it is blocked
    Given a trait history in which a part crashed <count> servers
    Then the part is blocked for another <seconds> seconds

    Examples:
      | count | seconds |
      | 3     | 60      |
      | 4     | 120     |
      | 6     | 480     |
      | 7     | 900     |
      | 40    | 900     |

  Scenario: A node of the previous version ignores parts and keeps its other blocks
    Given a message with blocked requests and blocked parts
    When a node without parts decodes the message
    Then it has the blocked requests of that message

  Scenario Outline: A stream without framing ends between two events only
    Given a gateway with 3 replicas of each kind
    When a stream ends with its connection <place>
    Then its response <result>

    Examples:
      | place                | result                            |
      | between two events   | is complete                       |
      | inside an event      | continues on another replica      |
      | inside each event    | is aborted and not complete       |
