Feature: The crash history that nodes keep of requests

  Scenario: Two crashed servers are not enough evidence
    Given a crash history
    When 2 servers crash while running a request
    Then it is not blocked

  Scenario: The same server counts once, however often it is reported
    Each gateway reports each lost run twice, and coordinators send each other
    their reports.
    Given a crash history
    When a server that crashed while running a request is reported 5 times
    Then it is not blocked

  Scenario: A server that restarts under its id counts again
    Given a crash history
    When 3 incarnations of one server crash while running a request
    Then it is blocked

  Scenario: A connection that breaks is not a crash
    Replicas that fail some of their requests close connections and keep
    running.
    Given a crash history
    When 9 runs of a request are lost at servers that keep running
    Then it is not blocked
    And after 31 seconds no lost run is stored and no request is blocked

  Scenario: A block expires
    Given a crash history
    When 3 servers crash while running a request
    Then it is blocked for 900 seconds
    And after 901 seconds no lost run is stored and no request is blocked

  Scenario: A block is not prolonged by nodes that report it again
    A coordinator restarts repeatedly from its disk, where the ages are those of
    the time of saving.
    Given a crash history
    When 3 servers crash while running a request
    And a node reports the saved lost runs every 100 seconds, each with its saved age
    Then after 901 seconds no lost run is stored and no request is blocked

  Scenario: Nodes that received reports in different orders converge
    Given 3 crash histories with parts of 40 lost runs, in random order
    When they send each other everything
    Then their hashes are equal, and so are the requests they block

  Scenario: A request that was served is not blamed any more
    Given a crash history
    When 3 servers crash while running a request
    And some gateway gets a complete response to it
    Then it is not blocked
    And the previous reports of it have no effect

  Scenario: A request that was cleared and then crashes servers is blocked again
    Given a crash history
    When some gateway gets a complete response to it
    And 3 servers crash while running a request
    Then it is blocked

  Scenario: The history is bounded, and keeps requests that crashed several servers
    A zone is lost: each of many requests loses one server. The record of the
    request that crashed three servers is kept.
    Given a crash history
    When 3 servers crash while running a request
    And 10000 other requests lose a server each
    Then it is blocked
    And 4096 lost runs are kept, in less than 4 MB
