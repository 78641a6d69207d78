Feature: Signals beside a planned stop

  Scenario Outline: A reload while a process ends does not kill it
    The event loop restores the default of SIGHUP when it is closed, and the
    process ended as killed, after it had stopped cleanly.
    When a <role> that has stopped gets SIGHUP before it has ended
    Then it ends with exit code 0

    Examples:
      | role        |
      | gateway     |
      | coordinator |
