Feature: Pauses and leave notices in responses of servers

  Scenario: A server that requests a pause gets no requests during the pause
    It refuses requests and names the time in which it accepts none from a
    gateway.
    Given a fleet of 6 gateways and 24 servers with callers
    When two heads refuse requests and request a pause of 3 seconds, for 8 seconds
    Then no gateway sends over 2 requests during a pause that was requested of it

  Scenario Outline: A pause causes no refusals while other servers have free slots
    Given a fleet of <gateways> gateways and 24 servers with callers
    When two heads refuse requests and request a pause of 3 seconds, for 8 seconds
    Then no gateway sends over 2 requests during a pause that was requested of it
    And no request was refused

    Examples:
      | gateways |
      | 6        |
      | 24       |
      | 72       |

  Scenario Outline: Requests that all servers refuse are refused at once
    The refusal states when the first server accepts requests again.
    Given a fleet of <gateways> gateways and 24 servers with callers
    When all heads refuse requests and request a pause of 3 seconds, for 8 seconds
    Then no gateway sends over 2 requests during a pause that was requested of it
    And each refused request got 503 and a retry time within its objective

    Examples:
      | gateways |
      | 6        |
      | 24       |

  Scenario Outline: Refusals that name no retry time cause no refusals to callers
    Given a fleet of <gateways> gateways and 24 servers with callers
    When two heads refuse requests without naming a retry time, for 8 seconds
    Then no request was refused
    And no gateway sends one of them over <most> requests

    Examples:
      | gateways | most |
      | 6        | 10   |
      | 24       | 10   |
      | 72       | 10   |

  Scenario: A server that refused requests without naming a retry time is used again
    Given a fleet of 6 gateways and 24 servers with callers
    When two heads refuse requests without naming a retry time, for 2 seconds
    And they accept requests again for 6 seconds
    Then each of them gets over 2 requests a second from 2 seconds after its refusals end

  Scenario: A server is used again when its pause is over
    Given a fleet of 6 gateways and 24 servers with callers
    When two heads refuse requests and request a pause of 1 seconds, for 0.5 seconds
    And they accept requests again for 4 seconds
    Then each of them gets over 2 requests a second from 1.2 seconds after its refusals end

  Scenario: A pause that was requested of one gateway does not bind the others
    The others prefer replicas that did not refuse requests, if there are any.
    Given a fleet of 6 gateways and 24 servers with callers
    When all heads refuse requests of one gateway and request a pause of 3 seconds
    Then the other gateways send them over 15 requests a second meanwhile

  Scenario: After one refusal the other gateways avoid the server
    Given a fleet of 24 gateways and 24 servers with callers
    When a head refuses requests of one gateway and requests a pause of 3 seconds
    Then the other gateways send it nothing from 0.1 seconds after its refusal

  Scenario: A restarted gateway receives which servers refuse requests
    Given a fleet of 6 gateways and 24 servers with callers
    When a head refuses requests of one gateway and requests a pause of 30 seconds
    And another gateway restarts and gets 40 requests
    Then none of them reaches that head

  Scenario: Gateways without retries do not use a server on probation
    The pause is over, but whether the server accepts requests is unknown, and
    the gateway can't afford another refusal.
    Given a gateway with 3 plain replicas
    When a replica's pause is over and no retries are left
    Then no call is sent to it while the others have free slots
    And calls are sent to it once retries are left, and then as before

  Scenario Outline: Pauses are kept through faults of the nodes
    Given a fleet of 6 gateways and 24 servers with callers
    When two heads refuse requests and request a pause of 3 seconds while <fault>
    Then no gateway sends over 2 requests during a pause that was requested of it

    Examples:
      | fault                                             |
      | the coordinators restart one after the other      |
      | all coordinators restart                          |
      | the coordinators are partitioned from each other  |
      | a zone is isolated                                |
      | all coordinators are stopped                      |

  Scenario: A restarted gateway keeps a pause from the first refusal on
    Given a fleet of 6 gateways and 24 servers with callers
    When two heads refuse requests and request a pause of 3 seconds while a gateway restarts
    Then no gateway sends over 2 requests during a pause that was requested of it since it started

  Scenario: Gateways keep pauses under random faults
    Then gateways keep pauses in the random fault schedules 0 to 7

  Scenario: A pause is kept when the other replicas have stopped
    Stalled replicas are tried if there is nothing better.
    Given a gateway with 3 plain replicas
    When a replica requests a pause of 3 seconds and the others can't be reached
    Then no call is sent to the first one for 3 seconds

  Scenario: A request waits for the end of a short pause
    Given a gateway with 1 plain replicas
    When the replica requests a pause of 0.02 seconds and a call arrives
    Then that call is sent when the pause is over

  Scenario: A later response does not shorten a pause
    Given a gateway with 1 plain replicas
    When the replica requests a pause of 3 seconds and then one of 0.1 seconds
    Then no call is sent to the first one for 3 seconds

  Scenario: A pause in a refusal of another request counts as well
    Given a gateway with 1 plain replicas
    When a response to another request requests a pause of 3 seconds
    Then no call is sent to the first one for 3 seconds

  Scenario: The next incarnation of a server is not paused
    Given a gateway with 1 plain replicas
    When the replica requests a pause of 3 seconds and restarts under its id
    Then a call is sent to it at once

  Scenario: A late response of the previous incarnation does not pause the next
    Given a gateway with 1 plain replicas
    When the replica restarts under its id and a pause of its previous incarnation arrives
    Then a call is sent to it at once

  Scenario: A late response of the previous incarnation ends no pause of the next
    Given a gateway with 1 plain replicas
    When the replica's next incarnation requests a pause of 3 seconds and its previous one a shorter one
    Then no call is sent to the first one for 3 seconds

  Scenario: The number of notices is bounded
    Then 5000 servers that request a pause leave 1024 notices of each kind
    And none is left when no server is on probation any more

  Scenario: A server that announces that it leaves gets no new requests
    Its responses say so; its heartbeats do not.
    Given a fleet of 6 gateways and 24 servers with callers
    When a head announces in its responses that it leaves, for 8 seconds
    Then no gateway sends it a request that arrived 2 seconds after the notice

  Scenario Outline: A leaving server gets no new requests through faults of the nodes
    Given a fleet of 6 gateways and 24 servers with callers
    When a head announces in its responses that it leaves while <fault>
    Then no gateway sends it a request that arrived 2 seconds after the notice

    Examples:
      | fault                                             |
      | the coordinators restart one after the other      |
      | all coordinators restart                          |
      | the coordinators are partitioned from each other  |
      | a zone is isolated                                |
      | all coordinators are stopped                      |

  Scenario: A leaving server that control nodes removed and list again is not used
    It was partitioned from them for over a minute, so that all of them removed
    it from their registries.
    Given a gateway with 2 plain replicas
    When a replica announces that it leaves and is removed and listed again
    Then no call is sent to it

  Scenario: A leaving replica is not used when the other replicas have stopped
    Given a gateway with 2 plain replicas
    When a replica announces that it leaves and the other can't be reached
    Then no call is sent to it

  Scenario: Requests that a leaving replica still runs are not aborted
    Given a gateway with 2 model replicas
    When a replica announces that it leaves at the beginning of its stream
    Then that stream ends completely

  Scenario: A request is refused at once if all replicas are leaving
    Given a gateway with 1 plain replicas
    When the only replica announces that it leaves and a call arrives
    Then that call ends with status 503 within 0.1 seconds, never sent

  Scenario: The next incarnation of a server that left is used
    Given a gateway with 1 plain replicas
    When the replica announces that it leaves and restarts under its id
    Then a call is sent to it at once

  Scenario: A leaving server that has not ended for long is used again
    Given a gateway with 1 plain replicas
    When the replica announces that it leaves and still exists after 900 seconds
    Then a call is sent to it at once

  Scenario: One gateway informs all nodes that a server leaves
    Its heartbeats do not say so, and only one gateway got a response.
    Given a fleet of 6 gateways and 24 servers with callers
    When a head announces to one gateway that it leaves
    Then no gateway uses that head for requests after 0.2 seconds
    And as many groups serve without it within 6 seconds

  Scenario Outline: A leave notice is reported until control nodes have it
    Given a fleet of 6 gateways and 24 servers with callers
    When a head announces to one gateway that it leaves while <fault>
    Then no gateway uses that head for requests after <late> seconds

    Examples:
      | fault                                         | late |
      | that gateway's home coordinator is stopped    | 3    |
      | that gateway's first message is lost          | 1    |
      | all coordinators restart                      | 5    |

  Scenario: A server that restarts after it left is used by all
    Given a fleet of 6 gateways and 24 servers with callers
    When a head announces to one gateway that it leaves
    And it restarts under its id
    Then all coordinators treat it as ready within 2 seconds

  Scenario: A coordinator sends a server no orders during the pause that the server requested
    A member of its group dies, so that the group of this head is to be closed.
    Given a fleet of 6 gateways and 24 servers with callers
    When a head requests a pause of 3 seconds from all coordinators and a member of its group dies
    Then it gets no order and no probe for 3 seconds
    And as many groups serve as before the pause within 6 seconds

  Scenario: A server that refuses a probe is not treated as dead
    Given a fleet of 6 gateways and 24 servers with callers
    When a head that no node receives anything from refuses its coordinator's probe
    Then that head is not marked as silent
