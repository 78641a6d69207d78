Feature: Acknowledged configurations stay acknowledged

  Scenario: A reply to a former process acknowledges no other change
    A coordinator that starts again numbers its requests anew.
    Given three coordinators with gateways
    When a coordinator that has started again gets the reply to its former process's change
    Then the change that was sent to the new process is not acknowledged

  Scenario: A reply to a former process answers no other read
    Given three coordinators with gateways
    When a coordinator that has started again gets the reply to its former process's read
    Then the read that was sent to the new process is not answered
