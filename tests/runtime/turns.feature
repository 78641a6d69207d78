Feature: A process does its work in the order of its urgency

  Scenario: Urgent messages go before those that have waited longer
    Votes would wait behind the reports of all servers.
    When 20 reports arrive over one connection, then a vote over another
    Then the vote is handled first

  Scenario: Messages of one connection keep their order
    An older hello would overwrite a newer one.
    When an urgent message arrives between reports of one connection
    Then they are handled as they were sent

  Scenario: A request whose client gave up before its turn is handled
    The server that sent a heartbeat would be taken for silent.
    When the client of a request leaves while it waits for its turn
    Then the application reads what the client had sent

  Scenario: Work that fails does not keep other work from being done
    When the first of three pieces of work fails
    Then the other two are done and the failure is logged
