Feature: Planned stops of relays and of the gateways that they serve

  Scenario Outline: A relay whose stop ends an exchange leaves a line, and no response looks complete
    A relay closed what was left without a line, so that the loss at the other
    gateway could not be explained; a close must not end a response without a
    length.
    Given an exchange through a relay that is <state>
    When the relay ends its exchanges
    Then the gateway's result is <result>
    And the replica's connection is closed or was never used
    And the relay has one line with the request's id, its server, its age and "<phase>"

    Examples:
      | state                                  | phase      | result       |
      | opening                                | opening    | not_run      |
      | waiting for the head                   | waiting    | may_have_run |
      | within a body with a length            | responding | may_have_run |
      | within a body without a length         | responding | may_have_run |

  Scenario: A relay that stops waits for bytes that its gateway has not taken
    Once the server had closed its connection, the relay counted nothing.
    Given an exchange through a relay that is ended by the replica with bytes unsent
    When the relay ends its exchanges
    Then the relay still owes the exchange and has no line
    When the gateway takes the bytes
    Then the gateway's result is complete
    And the relay owes nothing

  Scenario: A relay whose time is over names an exchange with bytes unsent
    Given an exchange through a relay that is ended by the replica with bytes unsent
    When the relay closes
    And the gateway takes the bytes
    Then the gateway's result is may_have_run
    And the relay has one line with the request's id, its server, its age and "flushing"

  Scenario: An opening that crosses the end of its relay has not run
    Given a relay with a kept connection of a gateway
    When the relay closes while an opening is on its way
    Then the gateway's result is not_run

  Scenario Outline: A gateway that stops ends the exchange at its relay and at the replica
    Given an exchange through a relay that is <state>
    When the gateway ends the exchange
    Then the replica's connection is closed or was never used
    And the relay owes nothing

    Examples:
      | state                                        |
      | opening                                      |
      | waiting for the head                         |
      | within a body with a length                  |
      | within a body without a length               |
      | ended by the replica with bytes unsent       |

  Scenario: A stream that its relay's stop ends is explained by its id, and goes on elsewhere
    Given a cluster with three gateways
    When the relay of a stream gets SIGTERM with too little time for it
    Then the caller gets each event once and a complete stream
    And the relay's line names the request as the first gateway does

  Scenario: A stream that its gateway's stop ends does not look complete
    Given a cluster with two gateways
    When the gateway of a relayed stream gets SIGTERM with too little time for it
    Then the caller gets an incomplete stream
    And the gateway's line names the request, and the relay has none

  Scenario: A relay reads on after a server that did not take its request has closed
    The relay had stopped reading from the gateway; at a stop the unread bytes
    reset the connection, and the gateway would lose the end of the response.
    Then a response that ends before its request's body leaves nothing unread
