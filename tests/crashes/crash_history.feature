Feature: The history of requests and crashed servers that nodes keep

  Scenario: A request that crashed two servers is not blocked
    Given a crash history
    When 2 servers crash while running a request
    Then the request is not blocked

  Scenario: A crashed server counts once, however often its lost run is reported
    Each gateway reports each lost run twice, and coordinators send the reports
    to each other.
    Given a crash history
    When a server that crashed while running a request is reported 5 times
    Then the request is not blocked

  Scenario: A server that restarts under its id and crashes again counts again
    Given a crash history
    When 3 incarnations of one server crash while running a request
    Then the request is blocked

  Scenario: A run that is lost at a server that keeps running does not count
    Replicas that fail some of their requests close connections and keep
    running.
    Given a crash history
    When 9 runs of a request are lost at servers that keep running
    Then the request is not blocked
    And after 31 seconds no lost run is stored and no request is blocked

  Scenario: A block expires
    Given a crash history
    When 3 servers crash while running a request
    Then the request is blocked for 900 seconds
    And after 901 seconds no lost run is stored and no request is blocked

  Scenario: A block is not prolonged by nodes that report it again
    A coordinator restarts repeatedly from its disk. The ages of the lost runs
    on the disk are those at the time of saving.
    Given a crash history
    When 3 servers crash while running a request
    And a node reports the saved lost runs every 100 seconds, each with its saved age
    Then after 901 seconds no lost run is stored and no request is blocked

  Scenario: Nodes that received reports in different orders converge
    Given 3 crash histories with parts of 40 lost runs, in random order
    When the histories send each other everything
    Then the digests of the histories are equal, and so are the requests that they block

  Scenario: A request that got a complete response is not blocked any more
    Given a crash history
    When 3 servers crash while running a request
    And some gateway gets a complete response to the request
    Then the request is not blocked
    And the previous reports of its lost runs have no effect

  Scenario: A request that was cleared and then crashes servers is blocked again
    Given a crash history
    When some gateway gets a complete response to the request
    And 3 servers crash while running a request
    Then the request is blocked

  Scenario: The history is bounded, and keeps requests that crashed several servers
    A zone is lost, and each of many requests loses one server. The history
    keeps the lost runs of the request that crashed three servers.
    Given a crash history
    When 3 servers crash while running a request
    And 10000 other requests lose a server each
    Then the request is blocked
    And 4096 lost runs are kept, in less than 4 MB
