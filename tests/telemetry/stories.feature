Feature: The story of a request, from logs alone

  Scenario: A caller complains of a stream that took a second try
    The replica of a stream resets it in the middle of an event; the stream goes
    on at another one. On-call engineers have the caller's id of its attempt and
    the logs of the processes, nothing else.
    Given the logs of a day on which a replica reset a stream
    When the story of the caller's attempt is told
    Then it names the failed try, the second one and the end as recorded

  Scenario: Logs that cannot be read to the end still tell what they can
    A log has half a line where a process was killed, and lines of other
    programs.
    Given the logs of a day on which a replica reset a stream
    And half a line and a line of another program among them
    When the story of the caller's attempt is told
    Then it names the failed try, the second one and the end as recorded
    And 2 lines are counted as unreadable

  Scenario: Nothing is made up about a request that no log knows
    Given the logs of a day on which a replica reset a stream
    When the story of an attempt that never was is told
    Then there is no line in it
