Feature: The figures of a process

  Scenario: Every scrape is answered, not just the first
    On-call engineers had the metrics of the moment at which a process was first
    asked, and errors from then on. The collectors of the second scrape met
    those of the first one in a registry of the whole process. The evidence: the
    process logged that a collector was already registered, once for each scrape.
    Given a process that has counted 2 decisions
    When its metrics are scraped
    And it counts another decision
    And its metrics are scraped
    Then the last scrape counts 3 decisions and shows the present values
