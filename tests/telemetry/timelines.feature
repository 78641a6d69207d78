Feature: The timeline of a request, from logs alone

  Scenario: The timeline of a stream shows both of its attempts
    The replica of a stream resets it in the middle of an event, and another
    replica continues the stream. Engineers on call have only the caller's id of
    its attempt and the logs of the processes.
    Given the logs of a cluster in which a replica reset a stream
    When the timeline of the caller's attempt is requested
    Then the timeline shows the failed attempt, the second attempt and the end as recorded

  Scenario: Malformed lines do not hide the rest of the timeline
    A log has a truncated line where a process was killed, and lines of other
    programs.
    Given the logs of a cluster in which a replica reset a stream
    And a truncated line and a line of another program among them
    When the timeline of the caller's attempt is requested
    Then the timeline shows the failed attempt, the second attempt and the end as recorded
    And 2 lines are counted as malformed

  Scenario: The timeline of a request that no log mentions is empty
    Given the logs of a cluster in which a replica reset a stream
    When the timeline of an unknown attempt is requested
    Then the timeline is empty
