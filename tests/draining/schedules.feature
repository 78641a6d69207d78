Feature: Random planned stops of a gateway
  Callers send requests while the gateway is stopped, reloaded or configured
  anew, in simulated time and without sockets. `stop_schedules.py` says how to
  run more of them.

  Scenario: A planned stop loses no request, accepts none that cannot end, and ends none silently
    Then 250 planned stops from seed 1 break no promise

  Scenario Outline: A planned stop <effect>
    Then 1 planned stops from seed <seed> break no promise

    Examples:
      | effect                                                         | seed |
      | loses no response to a caller that sends the next request      | 188  |
      | leaves a lingering connection open until its response is sent  | 562  |
      | does not cut a lingering connection when it closes kept ones   | 1371 |
      | announces the end of a connection whose body it does not read  | 318  |
      | names a request that waits for routes when it refuses it       | 53   |
      | answers what is queued before a request whose body still comes | 14   |
