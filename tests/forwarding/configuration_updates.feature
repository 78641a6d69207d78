Feature: Configurations that gateways receive

  Scenario: A late gateway decodes only the newest of the configurations that wait
    Decoding each of them would make the gateway later still.
    Given a gateway with configuration 5
    When configurations 6 to 17 arrive before its next tick
    Then it has decoded 1 configuration since
    And configuration 17 is in force

  Scenario: A configuration that waits is not overtaken by an older one
    Given a gateway with configuration 5
    When configurations 9 and 7 arrive before its next tick
    Then configuration 9 is in force

  Scenario: Content of another version than the one it was sent as is not put in force
    A coordinator that lost its newest entries would otherwise restore an older one.
    Given a gateway with configuration 5
    When the content of configuration 4 arrives as version 8
    Then configuration 5 is in force
    And the gateway reports that the content has version 4

  Scenario: A gateway that has started prefers a coordinator that is up to date
    Given a gateway without a configuration
    When configuration 4 arrives from a coordinator that may be behind
    And configuration 6 arrives 0.5 seconds later from one that is up to date
    Then configuration 6 is in force

  Scenario: A gateway that has started takes what it gets if no coordinator is up to date
    Given a gateway without a configuration
    When configuration 4 arrives from a coordinator that may be behind
    And the gateway has run for 1.3 seconds
    Then configuration 4 is in force
