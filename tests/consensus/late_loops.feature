Feature: Coordinators whose event loops are late keep the configuration

  Background:
    Given six coordinators with event loops

  Scenario: A leader that is briefly late again and again keeps its role
    Its followers are on time and wait for the shortest election timeout.
    When the leader's loop is late 20 times by 0.3 to 0.5 seconds
    Then the leader is the same and no term has passed

  Scenario: A leader keeps its role when all loops were late together
    After a late turn, replies of followers still wait in the sockets.
    When all loops are late by 1.9 seconds at once
    Then the leader is the same and no term has passed

  Scenario: A leader that was late removes no voter
    The replies of voters that work wait in its sockets.
    When the leader's loop is late by 4 seconds while the others stop too
    Then all voters of before were voters all the time

  Scenario: A late follower starts no election and loses no peer
    Its own lateness must not count as the silence of others.
    When a follower's loop is late by 3 seconds
    Then it holds all its peers for alive right after
    And no voter has started an election
    And the leader is the same and no term has passed

  Scenario Outline: Late coordinators do not order the same servers
    Each of them would hold the other for lost and take over its servers.
    When with seed <seed> all loops are late by 1 to 2 seconds for 30 seconds
    Then no server was ordered by two coordinators within 1 second

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: No leader changes any more once loops are on time
    A short cause must not have a long effect.
    When with seed <seed> all loops are late by 1 to 2 seconds for 30 seconds
    And they are on time for 5 seconds
    Then a leader is ready and keeps its role for 20 seconds

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: A dead leader is replaced when loops are on time
    Own pauses are taken off a silence, but nothing else.
    When the leading coordinator dies
    Then another leader is ready and no one holds it for alive in time

  Scenario: A dead leader is replaced though each turn is late
    Lateness may put off the judgement, but must not prevent it.
    When each turn is late by 0.3 seconds
    And the leading coordinator dies
    Then another leader is ready and no one holds it for alive in time

  Scenario: A dead peer is noticed though each turn is late
    Lateness may put off the judgement, but must not prevent it.
    When each turn is late by 0.3 seconds
    And a following coordinator dies
    Then another leader is ready and no one holds it for alive in time

  Scenario: Votes and reads do not wait behind reports
    A coordinator with many servers would vote after the election has ended.
    When a vote and a read arrive behind 500 reports
    Then each of them is handled within 20 ms

  Scenario: The follower of a leader without a majority is not up to date
    Another leader may have been elected, which this one can't know.
    When only one follower reaches the leader
    Then the leader keeps its role between 0.9 and 1.2 seconds
    And its follower is not up to date meanwhile
    And reads at the leader are not answered meanwhile

  Scenario: A leader whose replies are always late answers reads
    It would keep its role and serve nothing.
    Given a leader of three voters whose replies take 2.5 seconds
    Then it confirms a read once a majority has replied to it
    And it does not count as up to date meanwhile
