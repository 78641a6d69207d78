Feature: Random planned stops of a gateway
  Callers send requests while the gateway is stopped, reloaded or configured
  anew, in simulated time and without sockets. `stop_schedules.py` says how to
  run more of them.

  Scenario: A planned stop loses no request, accepts none that cannot end, and ends none silently
    Then 250 planned stops from seed 1 break no promise
