Feature: Servers that restart under the same id

  Scenario: A server that restarts under the same id is used again
    A server crashes and restarts under the same id. Its heartbeats are numbered
    from 1 again, below those of its previous incarnation. If they were treated
    as old, the server would never be used; with the previous incarnation's
    models the server would be treated as warm.
    Given a server that sent 50 heartbeats and had a model in memory
    When the server restarts and sends its first heartbeat
    Then the new incarnation is registered, free and with nothing in memory

  Scenario Outline: Late updates of the previous incarnation change nothing
    Given a server that sent 50 heartbeats and had a model in memory
    When the server restarts and sends its first heartbeat
    And then <update> of the previous incarnation arrives late
    Then the new incarnation is registered, free and with nothing in memory

    Examples:
      | update               |
      | a heartbeat          |
      | an Alive message     |
      | the end              |
      | the end as an update |

  Scenario: The end of the current incarnation removes the server
    Given a server that sent 50 heartbeats and had a model in memory
    When the server restarts and sends its first heartbeat
    And then the end of the new incarnation arrives
    Then the server is gone

  Scenario: Orders to a new incarnation are counted from zero
    A planner issued two orders to the previous incarnation. If later orders
    carried that number, the new incarnation would refuse each of them.
    Given a planner that issued two orders to a server
    When the server restarts under the same id
    Then the next order expects no accepted orders
    And a late report of the previous incarnation changes nothing

  Scenario Outline: A heartbeat does not undo a report that a server is leaving
    The server reports that it is leaving only in its responses to requests.
    Given a server that sent 50 heartbeats and had a model in memory
    When an update reports that the server is leaving, with heartbeat <number>
    And the server's heartbeat 52 reports that it is ready
    Then the server is registered as leaving, with heartbeat 52

    Examples:
      | number |
      | 50     |
      | 49     |
      | 51     |
