Feature: A process takes its own pauses off the silence of others

  Scenario: A pause counts as the longest gap between two ticks at most
    A process that was stopped must not hold all others for dead.
    Given a process that has listened until 10 seconds
    When it listens again at 15 seconds
    Then the silence since 10 seconds is 0.2 seconds

  Scenario: Time between ticks that are on time counts in full
    A process that is really dead must be noticed.
    Given a process that has listened until 10 seconds
    When it listens every 0.05 seconds until 15 seconds
    Then the silence since 10 seconds is 5 seconds

  Scenario: The present pause counts before it has ended
    A late turn judges silences before its own tick.
    Given a process that has listened until 10 seconds
    Then at 15 seconds the silence since 10 seconds is 0.2 seconds
    And at 15 seconds the silence since 9 seconds is 1.2 seconds

  Scenario: Each of several pauses is taken off
    Pauses in series must not add up to the silence of others.
    Given a process that has listened until 10 seconds
    When it listens again at 12 seconds
    And it listens again at 13 seconds
    And it listens every 0.05 seconds until 14 seconds
    Then the silence since 10 seconds is 1.4 seconds
    And the silence since 12 seconds is 1.2 seconds
    And the silence since 13 seconds is 1 second

  Scenario: A silence that began within a pause is never negative
    A message may be handled in a late turn before its tick.
    Given a process that has listened until 10 seconds
    When it listens again at 15 seconds
    Then the silence since 14.9 seconds is 0 seconds
    And at 15.1 seconds the silence since 15 seconds is 0.1 seconds

  Scenario: A pause that had begun before the last message takes off its rest only
    A dead process would otherwise count as alive for as long as the pause was.
    Given a process that has listened until 10 seconds
    When it listens again at 20 seconds
    And it listens every 0.05 seconds until 25 seconds
    Then the silence since 19.9 seconds is 5 seconds
    And the silence since 15 seconds is 5 seconds
    And at 25 seconds the silence since 10 seconds is 5.2 seconds

  Scenario: The present pause takes off nothing before the last message
    Given a process that has listened until 10 seconds
    Then at 20 seconds the silence since 19 seconds is 0 seconds
    And at 20 seconds the silence since 10.1 seconds is 0.1 seconds

  Scenario: What was never heard of is silent for ever
    A pause must not turn an unknown process into one that is alive.
    Given a process that has listened until 10 seconds
    When it listens again at 15 seconds
    Then the silence since for ever is infinite

  Scenario: Pauses are forgotten once no silence reaches back to them
    A process that is late for days must not need more and more memory.
    Given a process that has listened until 10 seconds
    When it is late by 1 second 200 times
    And it is late by 1 second 800 more times
    Then its state has not grown any more
    And the silence during the last 100 pauses counts 0.2 seconds for each

  Scenario: A clock that steps back ends no pause and makes none
    Given a process that has listened until 10 seconds
    When it listens again at 9 seconds
    And it listens again at 10.1 seconds
    Then the silence since 10 seconds is 0.1 seconds
