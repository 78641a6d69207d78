Feature: Coordinators whose event loops are late keep the configuration

  Background:
    Given six coordinators with event loops

  Scenario: A leader that is briefly late again and again keeps its role
    Its followers are on time and wait for the shortest election timeout.
    When the leader's loop is late 20 times by 0.3 to 0.5 seconds
    Then the leader is the same and no term has passed
