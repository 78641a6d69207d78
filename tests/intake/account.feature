Feature: Connections are evicted when a process has no memory left

  Background:
    Given clients may make the process hold 8 MiB, 6 of them in large requests
    And a port that takes 8 connections

  Scenario: A stalled body is evicted for one that makes progress
    Given 2 bodies of 4 MiB of which 2.5 MiB have arrived
    And nothing of them has arrived for 2 s
    When a body of 4 MiB arrives with 2 MiB
    Then connection 1 is evicted with memory_full
    And nothing waits

  Scenario: A body that comes too slowly is stalled
    Given 2 bodies of 4 MiB of which 2.5 MiB have arrived
    And 1 KiB of each of them arrives in each of 3 s
    When a body of 4 MiB arrives with 2 MiB
    Then connection 1 is evicted with memory_full

  Scenario: A body that makes progress is not evicted for one that comes later
    Given 2 bodies of 4 MiB of which 2.5 MiB have arrived
    And 128 KiB of each of them arrives in each of 2 s
    When a body of 4 MiB arrives with 2 MiB
    Then no connection is evicted
    And connection 3 waits

  Scenario: If all bodies wait for too long, the first one goes on
    Given 4 bodies of 4 MiB that arrive together until all of them wait
    When nothing happens for 1.5 s
    Then connections 2 to 4 are evicted with memory_full
    And connection 1 goes on

  Scenario: Bodies that wait go on in the order of their connections
    Given 4 bodies of 4 MiB that arrive together until all of them wait
    When connection 2 closes
    And connection 4 closes
    Then connection 1 goes on
    And connection 3 waits

  Scenario: Limits that are lowered apply to what comes next
    Given 1 bodies of 4 MiB of which 3 MiB have arrived
    When clients may make the process hold 4 MiB, 3 of them in large requests
    And a body of 4 MiB arrives with 1 MiB
    Then no connection is evicted
    And connection 2 waits

  Scenario: Connections that wait hold no more than a share of the limit
    Given 4 bodies of 4 MiB of which 2 MiB arrive at once
    And 4 bodies of 4 MiB of which 1 MiB arrive at once
    Then what is held is 10 MiB at most
    And connections 6 to 8 are evicted with memory_full

  Scenario: A small request has room when large ones have taken all of theirs
    Given 3 bodies of 4 MiB of which 2.5 MiB arrive at once
    When a body of 0.03 MiB arrives with 0.02 MiB
    Then connection 4 does not wait

  Scenario: A complete request is not evicted
    Given 2 bodies of 2.5 MiB of which 2.5 MiB have arrived
    And nothing of them has arrived for 20 s
    When a body of 4 MiB arrives with 2 MiB
    Then no connection is evicted
    And connection 3 waits

  Scenario: A response that nobody reads is evicted
    Given 2 responses of which 2.5 MiB wait for their clients
    And nothing of them has arrived for 2 s
    When a body of 4 MiB arrives with 2 MiB
    Then connection 1 is evicted with memory_full

  Scenario: A body of which nothing arrives any more ends
    Given 1 bodies of 4 MiB of which 2 MiB have arrived
    When nothing happens for 16 s
    Then connection 1 is evicted with body_stalled

  Scenario: A new connection takes the place of an idle one
    Given 8 connections that send nothing for 2 s
    When a connection is opened
    Then connection 1 is evicted with connections_full

  Scenario: A new connection is refused if no other one is stalled
    Given 8 connections with complete requests
    When a connection is opened
    Then connection 9 is evicted with connections_full

  Scenario: A new connection waits for the others to have the chance to send
    Given 8 connections that send nothing for 0.1 s
    When a connection is opened
    Then connection 9 is evicted with connections_full

  Scenario: Random clients leave no connection waiting and no byte uncounted
    Then 300 random schedules of clients violate no invariant

  Scenario Outline: The limits follow from what the machine has
    Then a process with <memory> MB and <descriptors> descriptors may hold <held> MiB for <connections> clients

    Examples:
      | memory | descriptors | held | connections |
      | 300    | 4100        | 118  | 1950        |
      | 296    | 4096        | 116  | 1948        |
      | 200    | 4100        | 68   | 1950        |
      | 160    | 4100        | 48   | 1950        |
      | 128    | 400         | 32   | 100         |
      | 64     | 200         | 8    | 16          |
