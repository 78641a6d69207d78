Feature: Random sequences of faults

  Scenario: Random faults at all nodes violate no invariant
    Faults of every kind occur at random times, also several at once, while
    callers send requests and work orders are resent. All invariants are
    checked after every step. In the end all replicas serve and every request
    has a response.
    Then generated faults violate no invariant, in 12 runs of up to 5 faults

  Scenario Outline: Fault sequences that once violated an invariant violate none now
    These sequences of faults revealed defects, which have been corrected.
    Then the faults of seed <seed> violate no invariant

    Examples:
      | seed | defect                                             |
      | 38   | an unknown configuration treated as an empty one   |
      | 79   | new work for a leaving server while no lease holds |
      | 152  | the same, while messages are lost                  |
      | 165  | the same, after a restart of the zone              |
