Feature: Soak test of the real programs under injected faults

  Scenario: A short seeded run violates no invariant
    Six processes, twelve backend servers and twelve callers on one machine.
    Overlapping series of faults kill, freeze, stop and restart processes and
    partition, delay, blackhole and reset connections. The run checks what
    callers and backend servers observe, also that requests succeed afterwards.
    Then seed 3 of the soak violates no invariant in 6 s of faults
