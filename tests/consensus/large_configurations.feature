Feature: Large configurations

  Scenario: Large configurations in progress together are all acknowledged
    Together they once exceeded a frame, which ended the links between voters.
    Given three coordinators with gateways
    When 8 configurations of 2 MB are sent at once through all coordinators
    Then all of them are acknowledged within 4 seconds
    And no message exceeds a frame

  Scenario: Large configurations survive a leader that ends in the middle
    The next leader gets them from the operators' resends.
    Given three coordinators with gateways
    When 8 configurations of 2 MB are sent at once and the leader is killed
    Then a read returns the newest acknowledged one within 6 seconds

  Scenario: A voter that is down gets no entries again and again
    The leader's memory once grew with each heartbeat to such a voter.
    Given three coordinators with gateways
    When a voter is down for 60 s while 10 configurations of 229 KB are sent
    Then the leader sends it less than 1 MB
    And it holds the newest version within 3 seconds of its return

  Scenario: Configurations below the highest one are not replicated
    They change nothing, and are acknowledged once the highest is committed.
    Given three coordinators with gateways
    When 8 configurations of 2 MB are sent at once through all coordinators
    Then the log holds at most 4 of them

  Scenario: A snapshot replaces the log once for each 2 MB of configurations
    A snapshot with each change doubles the writes, and the log holds no entry to send.
    When a voter commits 30 configurations of 200 KB
    Then it has made 2 snapshots

  Scenario: A forwarded configuration is not sent again while it is on its way
    Each was once forwarded four times a second with its content.
    Given three coordinators with gateways
    When a configuration of 2 MB is forwarded to a leader that is slow to commit
    Then it was forwarded once within 1 second

  Scenario: The event loop has its turn between the steps of large configurations
    Several in a row once held up heartbeats for longer than an election timeout.
    When 3 operators send configurations to one coordinator at once
    Then the event loop had a turn before each step
