Feature: Pauses and leave notices in responses of servers

  Scenario: A server that requests a pause gets no requests during the pause
    The server refuses requests and names the time in which it accepts no
    requests from a gateway.
    Given a fleet of 6 gateways and 24 servers with callers
    When two heads refuse requests and request a pause of 3 seconds, for 8 seconds
    Then no gateway sends a server over 2 requests during a pause requested of that gateway

  Scenario Outline: No request is refused because of a pause while other servers have free slots
    Given a fleet of <gateways> gateways and 24 servers with callers
    When two heads refuse requests and request a pause of 3 seconds, for 8 seconds
    Then no gateway sends a server over 2 requests during a pause requested of that gateway
    And no request was refused

    Examples:
      | gateways |
      | 6        |
      | 24       |
      | 72       |

  Scenario Outline: Gateways refuse requests at once while all servers refuse requests
    The gateway's refusal states when the first server accepts requests again.
    Given a fleet of <gateways> gateways and 24 servers with callers
    When all heads refuse requests and request a pause of 3 seconds, for 8 seconds
    Then no gateway sends a server over 2 requests during a pause requested of that gateway
    And each refused request got 503 and a retry time within its objective

    Examples:
      | gateways |
      | 6        |
      | 24       |

  Scenario Outline: Callers get no refusals when two servers refuse without a retry time
    Given a fleet of <gateways> gateways and 24 servers with callers
    When two heads refuse requests without naming a retry time, for 8 seconds
    Then no request was refused
    And no gateway sends one of these heads over <most> requests

    Examples:
      | gateways | most |
      | 6        | 10   |
      | 24       | 10   |
      | 72       | 10   |

  Scenario: A server that refused requests without naming a retry time is used again
    Given a fleet of 6 gateways and 24 servers with callers
    When two heads refuse requests without naming a retry time, for 2 seconds
    And these heads accept requests again for 6 seconds
    Then each of these heads gets over 2 requests a second from 2 seconds after its refusals end

  Scenario: A server is used again when its pause is over
    Given a fleet of 6 gateways and 24 servers with callers
    When two heads refuse requests and request a pause of 1 seconds, for 0.5 seconds
    And these heads accept requests again for 4 seconds
    Then each of these heads gets over 2 requests a second from 1.2 seconds after its refusals end

  Scenario: Other gateways may use a server that requested a pause of one gateway
    The other gateways prefer replicas that did not refuse requests, if there
    are any.
    Given a fleet of 6 gateways and 24 servers with callers
    When all heads refuse requests of one gateway and request a pause of 3 seconds
    Then the other gateways send these heads over 15 requests a second during the pause

  Scenario: After a server refused requests of one gateway, the other gateways avoid it
    Given a fleet of 24 gateways and 24 servers with callers
    When a head refuses requests of one gateway and requests a pause of 3 seconds
    Then the other gateways send that head nothing from 0.1 seconds after its refusal

  Scenario: A restarted gateway learns from other nodes which servers refuse requests
    Given a fleet of 6 gateways and 24 servers with callers
    When a head refuses requests of one gateway and requests a pause of 30 seconds
    And another gateway restarts and gets 40 requests
    Then none of these requests reaches that head

  Scenario: A gateway that has no retries left does not use a server on probation
    The pause of the server is over, but whether the server accepts requests is
    unknown, and the gateway can't afford another refusal.
    Given a gateway with 3 plain replicas
    When a replica's pause is over and no retries are left
    Then no call is sent to that replica while the others have free slots
    And calls are sent to that replica once retries are left, and then as before

  Scenario Outline: Gateways keep the pauses of servers during faults of the nodes
    Given a fleet of 6 gateways and 24 servers with callers
    When two heads refuse requests and request a pause of 3 seconds while <fault>
    Then no gateway sends a server over 2 requests during a pause requested of that gateway

    Examples:
      | fault                                             |
      | the coordinators restart one after the other      |
      | all coordinators restart                          |
      | the coordinators are partitioned from each other  |
      | a zone is isolated                                |
      | all coordinators are stopped                      |

  Scenario: A restarted gateway keeps a pause after the first refusal that it gets
    Given a fleet of 6 gateways and 24 servers with callers
    When two heads refuse requests and request a pause of 3 seconds while a gateway restarts
    Then no gateway sends a server over 2 requests during a pause requested of that gateway since its start

  Scenario: Gateways keep the pauses of servers during random faults
    Then gateways keep pauses in the random fault schedules 0 to 7

  Scenario: A gateway keeps a replica's pause when the other replicas have stopped
    The gateway tries stalled replicas if there is nothing better.
    Given a gateway with 3 plain replicas
    When a replica requests a pause of 3 seconds and the others can't be reached
    Then no call is sent to the paused replica for 3 seconds

  Scenario: A request waits for the end of a short pause
    Given a gateway with 1 plain replicas
    When the replica requests a pause of 0.02 seconds and a call arrives
    Then that call is sent when the pause is over

  Scenario: A later response with a shorter pause does not shorten the earlier pause
    Given a gateway with 1 plain replicas
    When the replica requests a pause of 3 seconds and then a pause of 0.1 seconds
    Then no call is sent to the paused replica for 3 seconds

  Scenario: A pause in the response to another request counts as well
    Given a gateway with 1 plain replicas
    When a response to another request requests a pause of 3 seconds
    Then no call is sent to the paused replica for 3 seconds

  Scenario: A server's pause does not apply to its next incarnation
    Given a gateway with 1 plain replicas
    When the replica requests a pause of 3 seconds and restarts under its id
    Then a call is sent to the replica at once

  Scenario: A late response of the previous incarnation does not pause the next incarnation
    Given a gateway with 1 plain replicas
    When the replica restarts under its id and a pause of its previous incarnation arrives
    Then a call is sent to the replica at once

  Scenario: A late response of the previous incarnation does not end a pause of the next
    Given a gateway with 1 plain replicas
    When the replica's next incarnation requests a pause of 3 seconds and its previous incarnation a shorter pause
    Then no call is sent to the paused replica for 3 seconds

  Scenario: The number of notices that a gateway stores is bounded
    Then 5000 servers that request a pause leave 1024 notices of each kind
    And no notice is left when no server is on probation any more

  Scenario: A server that announces that it leaves gets no new requests
    The server's responses say that it leaves; its heartbeats do not.
    Given a fleet of 6 gateways and 24 servers with callers
    When a head announces in its responses that it leaves, for 8 seconds
    Then no gateway sends that head a request that arrived 2 seconds after the notice

  Scenario Outline: A leaving server gets no new requests even while nodes fail
    Given a fleet of 6 gateways and 24 servers with callers
    When a head announces in its responses that it leaves while <fault>
    Then no gateway sends that head a request that arrived 2 seconds after the notice

    Examples:
      | fault                                             |
      | the coordinators restart one after the other      |
      | all coordinators restart                          |
      | the coordinators are partitioned from each other  |
      | a zone is isolated                                |
      | all coordinators are stopped                      |

  Scenario: A leaving server that coordinators removed and list again is not used
    The server was partitioned from the coordinators for over a minute, so that
    all of them removed it from their registries.
    Given a gateway with 2 plain replicas
    When a replica announces that it leaves and is removed and listed again
    Then no call is sent to the leaving replica

  Scenario: A leaving replica is not used when the other replicas have stopped
    Given a gateway with 2 plain replicas
    When a replica announces that it leaves and the other can't be reached
    Then no call is sent to the leaving replica

  Scenario: Requests that a leaving replica still runs are not aborted
    Given a gateway with 2 model replicas
    When a replica announces that it leaves at the beginning of its stream
    Then that stream ends completely

  Scenario: A request is refused at once if all replicas are leaving
    Given a gateway with 1 plain replicas
    When the only replica announces that it leaves and a call arrives
    Then that call ends with status 503 within 0.1 seconds without being sent

  Scenario: The next incarnation of a server that left is used
    Given a gateway with 1 plain replicas
    When the replica announces that it leaves and restarts under its id
    Then a call is sent to the replica at once

  Scenario: A leaving server that still exists after 900 seconds is used again
    Given a gateway with 1 plain replicas
    When the replica announces that it leaves and still exists after 900 seconds
    Then a call is sent to the replica at once

  Scenario: One gateway informs all nodes that a server leaves
    The server's heartbeats do not say that it leaves, and only one gateway got
    a response with the leave notice.
    Given a fleet of 6 gateways and 24 servers with callers
    When a head announces to one gateway that it leaves
    Then no gateway uses that head for requests after 0.2 seconds
    And as many groups serve without that head within 6 seconds

  Scenario Outline: A gateway reports a leave notice until the coordinators have it
    Given a fleet of 6 gateways and 24 servers with callers
    When a head announces to one gateway that it leaves while <fault>
    Then no gateway uses that head for requests after <late> seconds

    Examples:
      | fault                                         | late |
      | that gateway's home coordinator is stopped    | 3    |
      | that gateway's first message is lost          | 1    |
      | all coordinators restart                      | 5    |

  Scenario: A server that restarted after it left is ready at all coordinators
    Given a fleet of 6 gateways and 24 servers with callers
    When a head announces to one gateway that it leaves
    And that head restarts under its id
    Then all coordinators treat that head as ready within 2 seconds

  Scenario: A coordinator sends a server no orders during the pause that the server requested
    The server is the head of a group. A member of the group dies, so that the
    group is to be closed.
    Given a fleet of 6 gateways and 24 servers with callers
    When a head requests a pause of 3 seconds from all coordinators and a member of its group dies
    Then that head gets no order and no probe for 3 seconds
    And as many groups serve as before the pause within 6 seconds

  Scenario: A server that refuses a probe is not treated as dead
    Given a fleet of 6 gateways and 24 servers with callers
    When a head that no node receives anything from refuses its coordinator's probe
    Then that head is not marked as silent
