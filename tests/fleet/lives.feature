Feature: Servers that start again under their id

  Scenario: A server that starts again is used again
    A server crashes and starts again under the id that it had. Its heartbeats
    count from 1 again, below those of its former life. Taken for old, it would
    never be used; with the former life's models it would be taken for warm.
    Given a server that told 50 heartbeats and had a model in memory
    When it starts again and tells its first heartbeat
    Then the new life is known, free and with nothing in memory

  Scenario Outline: News of the former life that come late change nothing
    Given a server that told 50 heartbeats and had a model in memory
    When it starts again and tells its first heartbeat
    And then <news> of the former life comes late
    Then the new life is known, free and with nothing in memory

    Examples:
      | news                 |
      | a heartbeat          |
      | a sign of life       |
      | the end              |
      | the end as a news    |

  Scenario: The end of the present life is its end
    Given a server that told 50 heartbeats and had a model in memory
    When it starts again and tells its first heartbeat
    And then the end of the new life comes
    Then the server is gone

  Scenario: Orders to a new life count from nothing
    A planner had ordered two things in the former life. With that number in
    its orders the new life would refuse each of them.
    Given a planner that gave two orders to a server
    When the server starts again
    Then the next order names no accepted orders
    And a report of the former life that comes late changes nothing

  Scenario Outline: That a server leaves is not taken back by its heartbeats
    It says so with its answers only.
    Given a server that told 50 heartbeats and had a model in memory
    When it is told that it leaves, with heartbeat <number>
    And its heartbeat 52 says that it is ready
    Then it is known as leaving, with heartbeat 52

    Examples:
      | number |
      | 50     |
      | 49     |
      | 51     |
