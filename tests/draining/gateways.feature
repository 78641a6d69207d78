Feature: Planned stops of gateways

  Scenario: A gateway that stops cuts no request that it has accepted
    A caller whose stream ends after SIGTERM sends its next request at once on
    the same connection. Bodies still come when no response is pending.
    Then no stream is cut whose caller sends it on a connection kept since SIGTERM
    And a request whose body still comes at SIGTERM is answered completely
