Feature: Voters that are replaced

  Scenario: A voter may be lost right after the planned replacement of another
    A fourth voter beside the replaced one would leave two of four voters.
    Given three coordinators with gateways
    When a coordinator is replaced as planned and another one loses its disk
    Then version 7 is read within 6 seconds
    And a change is acknowledged within 6 seconds

  Scenario: A voter may be lost as soon as the successor of a lost leader counts
    The election must not start the time anew after which the lost one is missed.
    Given three coordinators with gateways
    When the leader is replaced and another one is lost after the catch-up time
    Then version 7 is read within 6 seconds
    And a change is acknowledged within 6 seconds

  Scenario: The next leader completes the exchange of a voter
    The leader ends after it has added a successor, before it removes a voter.
    Given three coordinators with gateways
    When the leader ends between the two changes of a planned replacement
    Then the voters are the three others within 3 seconds

  Scenario: Losses that are allowed at the same time leave a majority of voters
    Random schedules of 3 to 8 coordinators with losses a catch-up time apart.
    Then the loss schedules 0 to 4 leave a majority of the voters

  Scenario: Lost voters that stay too long leave no majority
    The check of the schedules notices replacement after the bound.
    When lost voters are replaced after twice the catch-up time
    Then some loss schedule from 0 to 4 leaves no majority

  Scenario: Missing leaders are reported with the voters that are silent
    Operators see which voters are missing when no leader can be elected.
    Given three coordinators with gateways
    When two of three coordinators lose their disks
    Then the remaining one reports within 6 seconds that a majority is silent
