Feature: Reports about servers

  Scenario Outline: A report of a service that no configuration names ends no server
    An agent beside each server reports the server's address under its own id.
    Given three coordinators with gateways
    When an agent of a service that no configuration names reports the address of each server <how>
    Then every server is known as ready at every node
    And no agent is known at any node

    Examples:
      | how                                    |
      | once                                   |
      | in each heartbeat period               |
      | and all coordinators start again       |
      | and each coordinator loses its disk    |

  Scenario Outline: A server of a service that is named later is used from then on
    Given three coordinators with gateways
    When a server of a service that no configuration names reports <reports>
    And a configuration that names the service is acknowledged
    Then the server is <state> at every node without another report

    Examples:
      | reports                          | state   |
      | that it is ready                 | ready   |
      | that it is ready, then older     | ready   |
      | that it is ready, then it leaves | gone    |

  Scenario: A server is not used before its service is named
    Given three coordinators with gateways
    When a server of a service that no configuration names reports that it is ready
    Then the server is unknown at every node

  Scenario: A server whose service is named no longer does not count as lost
    Its requests that still run must not count as lost runs.
    Given three coordinators with gateways
    When a server of a service that a configuration names reports that it is ready
    And a configuration without the service is acknowledged
    And the server sends heartbeats for 5 seconds
    Then the server is ready at every node without another report

  Scenario Outline: A late first report ends no server that uses the address now
    A server crashes before its first report arrives; a server that started at its address has sent more reports than it.
    Given three coordinators with gateways
    When a server of <service> at the address of a server that crashed has sent <count> reports
    And the late report <number> of the server that crashed arrives at <place>
    Then the server that uses the address is known as ready at every node
    And the server that crashed is not used at any gateway 5 seconds later

    Examples:
      | service         | count | number | place                  |
      | the same one    | 3     | 1      | the same coordinator   |
      | the same one    | 3     | 1      | another coordinator    |
      | another service | 3     | 2      | another coordinator    |
      | another service | 2     | 2      | all coordinators       |
      | another service | 9     | 4      | a started coordinator  |

  Scenario Outline: The requests of an ended server do not reach the one at its address
    Given three coordinators with gateways
    When a server of <service> takes the address of a server that ended <gap> seconds before
    Then the ended incarnation is gone at every gateway within <limit> seconds

    Examples:
      | service         | gap | limit |
      | the same one    | 4.0 | 0.2   |
      | another service | 4.0 | 0.2   |
      | another service | 0.5 | 4.0   |

  Scenario: The end of an incarnation that was not known yet is final
    Its deregistration arrives before its first heartbeat.
    Given a server that sent 50 heartbeats and had a model in memory
    When the end of the new incarnation arrives before its first heartbeat
    Then the server is gone

  Scenario: Random schedules of reused addresses end no server that reports
    Then 12 random schedules of reused addresses violate no promise
