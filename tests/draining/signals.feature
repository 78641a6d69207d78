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

  Scenario: A reload while a process starts does not kill it
    The imports of a role take a second on a small VM, and SIGHUP killed the
    process until they were done.
    When the program gets SIGHUP while it imports its modules
    Then it ends with the exit code of missing arguments
