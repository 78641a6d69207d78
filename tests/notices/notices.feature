Feature: What servers say with an answer about requests to come

  Scenario: A server that asks for a pause gets no requests in it
    It turns requests away and says for how long it wants none from a gateway.
    Given a fleet of 6 gateways and 24 servers with callers
    When two heads turn requests away and ask for 3 seconds, for 8 seconds
    Then no gateway sends over 2 requests in a pause that it was asked for

  Scenario Outline: A pause costs callers nothing while others have free slots
    Given a fleet of <gateways> gateways and 24 servers with callers
    When two heads turn requests away and ask for 3 seconds, for 8 seconds
    Then no gateway sends over 2 requests in a pause that it was asked for
    And no request was refused

    Examples:
      | gateways |
      | 6        |
      | 24       |
      | 72       |

  Scenario Outline: Requests that all servers turn away are refused at once
    Each is told when the first server takes requests again.
    Given a fleet of <gateways> gateways and 24 servers with callers
    When all heads turn requests away and ask for 3 seconds, for 8 seconds
    Then no gateway sends over 2 requests in a pause that it was asked for
    And each refused request got 503 and a time to come back within its objective

    Examples:
      | gateways |
      | 6        |
      | 24       |

  Scenario Outline: Refusals that name no time cost callers nothing, either
    Given a fleet of <gateways> gateways and 24 servers with callers
    When two heads turn requests away and name no time, for 8 seconds
    Then no request was refused
    And no gateway sends one of them over <most> requests

    Examples:
      | gateways | most |
      | 6        | 10   |
      | 24       | 10   |
      | 72       | 10   |

  Scenario: A server that turned requests away without a time is used again
    Given a fleet of 6 gateways and 24 servers with callers
    When two heads turn requests away and name no time, for 2 seconds
    And they take requests again for 6 seconds
    Then each of them gets over 2 requests a second from 2 seconds after that

  Scenario: A server is used again when its pause is over
    Given a fleet of 6 gateways and 24 servers with callers
    When two heads turn requests away and ask for 1 seconds, for 0.5 seconds
    And they take requests again for 4 seconds
    Then each of them gets over 2 requests a second from 1.2 seconds after that

  Scenario: A pause that one gateway was asked for binds no other
    The others prefer replicas that turned nobody away, if there are any.
    Given a fleet of 6 gateways and 24 servers with callers
    When all heads turn requests of one gateway away and ask for 3 seconds
    Then the other gateways send them over 15 requests a second meanwhile

  Scenario: One refusal is enough for all gateways
    Given a fleet of 24 gateways and 24 servers with callers
    When a head turns requests of one gateway away and asks for 3 seconds
    Then the other gateways send it nothing from 0.1 seconds after that

  Scenario: A gateway that starts knows which servers turn requests away
    Given a fleet of 6 gateways and 24 servers with callers
    When a head turns requests of one gateway away and asks for 30 seconds
    And another gateway starts again and is asked 40 requests
    Then none of them reaches that head

  Scenario: Gateways that can't afford a refusal leave a server in doubt alone
    The pause is over, and nobody knows whether the server takes requests again.
    Given a gateway with 3 plain replicas
    When a replica's pause is over and no retries are left
    Then no call is sent to it while the others have free slots
    And calls are sent to it once retries are left, and then as before

  Scenario Outline: Pauses are kept through faults of the nodes
    Given a fleet of 6 gateways and 24 servers with callers
    When two heads turn requests away and ask for 3 seconds while <fault>
    Then no gateway sends over 2 requests in a pause that it was asked for

    Examples:
      | fault                                             |
      | the coordinators start again one after the other  |
      | all coordinators start again                      |
      | the coordinators are cut from each other          |
      | a zone is cut off                                 |
      | all coordinators are lost                         |

  Scenario: A gateway that starts again heeds the first refusal
    Given a fleet of 6 gateways and 24 servers with callers
    When two heads turn requests away and ask for 3 seconds while a gateway starts again
    Then no gateway sends over 2 requests in a pause that it was asked for since

  Scenario: Random schedules of faults keep pauses
    Then random schedules 0 to 7 of faults keep pauses

  Scenario: Replicas that have stopped are no reason to break a pause
    With nothing better, stalled replicas are tried.
    Given a gateway with 3 plain replicas
    When a replica asks for 3 seconds and the others can't be reached
    Then no call is sent to the first one for 3 seconds

  Scenario: A request waits for the end of a short pause
    Given a gateway with 1 plain replicas
    When the replica asks for a pause of 0.02 seconds and a call comes
    Then that call is sent when the pause is over

  Scenario: A longer pause is not cut short by a later answer
    Given a gateway with 1 plain replicas
    When the replica asks for 3 seconds and then for 0.1 seconds
    Then no call is sent to the first one for 3 seconds

  Scenario: A refusal of another request tells of a pause as well
    Given a gateway with 1 plain replicas
    When an answer to another request asks for a pause of 3 seconds
    Then no call is sent to the first one for 3 seconds

  Scenario: The next life of a server is not paused
    Given a gateway with 1 plain replicas
    When the replica asks for 3 seconds and starts again under its id
    Then a call is sent to it at once

  Scenario: A late answer of a former life does not pause the next one
    Given a gateway with 1 plain replicas
    When the replica starts again under its id and then a pause of its former life comes
    Then a call is sent to it at once

  Scenario: A late answer of a former life does not end the pause of the next one
    Given a gateway with 1 plain replicas
    When the next life of the replica asks for 3 seconds and its former one for less
    Then no call is sent to the first one for 3 seconds

  Scenario: The number of notices is bounded
    Then 5000 servers that ask for a pause leave 1024 notices of each kind
    And none is left when no server is in doubt any more

  Scenario: A server that says that it leaves gets no new requests
    Its answers say so; its heartbeats do not.
    Given a fleet of 6 gateways and 24 servers with callers
    When a head says with its answers that it leaves, for 8 seconds
    Then no gateway sends it a request that came 2 seconds after it was told

  Scenario Outline: A leaving server gets nothing new through faults of the nodes
    Given a fleet of 6 gateways and 24 servers with callers
    When a head says with its answers that it leaves while <fault>
    Then no gateway sends it a request that came 2 seconds after it was told

    Examples:
      | fault                                             |
      | the coordinators start again one after the other  |
      | all coordinators start again                      |
      | the coordinators are cut from each other          |
      | a zone is cut off                                 |
      | all coordinators are lost                         |

  Scenario: A leaving server that control nodes forgot and know again is not used
    It was cut off from them for over a minute, so nobody knows it any more.
    Given a gateway with 2 plain replicas
    When a replica says that it leaves and is forgotten and known again
    Then no call is sent to it

  Scenario: Replicas that have stopped are no reason to use one that leaves
    Given a gateway with 2 plain replicas
    When a replica says that it leaves and the other can't be reached
    Then no call is sent to it

  Scenario: What a leaving replica still runs is not cut
    Given a gateway with 2 model replicas
    When a replica says that it leaves at the beginning of its stream
    Then that stream ends whole

  Scenario: With leaving replicas only, a request is refused at once
    Given a gateway with 1 plain replicas
    When the only replica says that it leaves and a call comes
    Then that call ends with status 503 within 0.1 seconds, never sent

  Scenario: The next life of a server that left is used
    Given a gateway with 1 plain replicas
    When the replica says that it leaves and starts again under its id
    Then a call is sent to it at once

  Scenario: A server that does not end for long is used again
    Given a gateway with 1 plain replicas
    When the replica says that it leaves and is still there after 900 seconds
    Then a call is sent to it at once

  Scenario: All nodes know from one gateway that a server leaves
    Its heartbeats do not tell, and only one gateway had an answer.
    Given a fleet of 6 gateways and 24 servers with callers
    When a head tells one gateway that it leaves
    Then no gateway offers that head after 0.2 seconds
    And as many groups serve without it within 6 seconds

  Scenario Outline: That a server leaves is told until control nodes know it
    Given a fleet of 6 gateways and 24 servers with callers
    When a head tells one gateway that it leaves while <fault>
    Then no gateway offers that head after <late> seconds

    Examples:
      | fault                                     | late |
      | that gateway's home is lost               | 3    |
      | that gateway's first message is lost      | 1    |
      | all coordinators start again              | 5    |

  Scenario: A server that starts again after it left is used by all
    Given a fleet of 6 gateways and 24 servers with callers
    When a head tells one gateway that it leaves
    And it starts again under its id
    Then all coordinators take it for ready within 2 seconds

  Scenario: A coordinator gives a server no orders in the pause it was asked for
    A member of its group dies, so that its head is to be closed.
    Given a fleet of 6 gateways and 24 servers with callers
    When a head asks all coordinators for 3 seconds and a member of it dies
    Then it gets no order and no question for 3 seconds
    And as many groups serve as with it within 6 seconds

  Scenario: A server that turns a question away is not taken for dead
    Given a fleet of 6 gateways and 24 servers with callers
    When a head that nobody hears turns a question of its coordinator away
    Then that head is not marked as silent
