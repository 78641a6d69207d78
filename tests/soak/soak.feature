Feature: A soak of the real programs, with faults from outside

  Scenario: A short seeded run breaks no promise
    Six processes, twelve backend servers and twelve callers on one machine.
    Processes are killed, paused, stopped and started, connections cut, slowed,
    silenced and reset, in series that overlap. What callers and backend
    servers see is checked all the while, and that all serves again after it.
    Then seed 3 of the soak breaks no promise in 6 s of faults
