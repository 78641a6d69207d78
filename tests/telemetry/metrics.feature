Feature: The metrics of a process

  Scenario: Every scrape succeeds, not only the first
    If scrapes share the registry of the process, the collectors of the second
    scrape clash with those of the first: every scrape except the first fails.
    Each time, the process logs that a collector is already registered.
    Given a process that has recorded 2 decisions
    When its metrics are scraped
    And it records another decision
    And its metrics are scraped
    Then the last scrape shows 3 decisions and the current gauges
