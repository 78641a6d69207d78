Feature: Requests that crash the servers which run them

  Scenario: A request that crashes each replica that runs it is soon not sent
    A caller sends the same body repeatedly, to any gateway. Each run crashes
    its replica 0.1 s after its start, and all other streams of the replica
    fail. The gateway retries the request on another replica, which crashes as
    well. If each gateway dropped its record of the request with the final
    response, and none informed the others, each submission could crash two more
    servers, and a tenth of all requests would fail in waves of some seconds.
    Only the body distinguishes this request from others.
    Given gateways and 24 servers with callers
    When a caller sends a request every 0.3 seconds that crashes its replica
    Then from 1 second after the third crash it reaches no replica
    And each later submission is refused at once as not run
    And nine in ten requests of other callers get a response after that

  Scenario: A request that crashed two servers is tried by one gateway only
    If all gateways sent it at the same time, each of them could crash one more
    server.
    Given gateways and 72 servers with callers
    When a request crashes 2 servers and is then sent 4 times to each gateway
    Then at most 3 servers crashed while running it

  Scenario: A gateway tries a request that crashed a server one at a time
    Submissions sent in parallel would each crash a server before the first loss
    is recorded.
    Given gateways and 72 servers with callers
    When a request crashes 1 server and is then sent 5 times to the same gateway
    Then at most 4 servers crashed while running it

  Scenario: A request that lost two servers by coincidence is served again
    A suspected request that crashes no server must not stay refused.
    Given gateways and 72 servers with callers
    When a request loses 2 servers that end for another reason
    Then every gateway serves the same request from 4 seconds after these losses

  Scenario: Requests whose servers crash because of VM faults are not refused
    Heads crash one after the other because of faults of their VMs. All streams
    of a head fail, and some of them lose the next server as well.
    Given gateways and 72 servers with callers
    When a busy head crashes every 0.5 seconds, 8 times
    Then no request is refused because of these crashes
    And no node blocks a request

  Scenario: Requests that share servers with a crashing request are not refused
    They lose the servers that the request crashes as well, and continue on
    others, to which the crashing request may be sent too.
    Given gateways and 24 servers with callers
    When a caller sends a request every 0.3 seconds that crashes its replica
    Then no other request is refused because of these crashes

  Scenario: A request that many callers repeat is not blamed for lost servers
    Each server runs the same request, which has been served before. All heads
    of a zone crash at the same moment in a power failure.
    Given gateways and 24 servers with callers
    When all busy heads crash at once while running the same request
    Then that request is served again within 6 seconds

  Scenario: A restarted gateway receives the blocked requests at once
    Otherwise it would send them, and crash servers that the other gateways
    protect.
    Given gateways and 24 servers with callers
    And a request that is blocked everywhere
    When a gateway restarts
    Then it refuses the request as soon as it has a configuration

  Scenario: A block holds when all nodes restart
    All processes lose power at the same moment. Only what the coordinators
    persisted to disk is left.
    Given gateways and 24 servers with callers
    And a request that is blocked everywhere
    When all coordinators and gateways restart after a power loss
    Then every gateway refuses the request 2 seconds later

  Scenario: A block holds when a coordinator loses its disk
    Given gateways and 24 servers with callers
    And a request that is blocked everywhere
    When the coordinators lose their disks one after the other
    Then every gateway refuses the request 2 seconds later
    When a gateway restarts
    Then it refuses the request as soon as it has a configuration

  Scenario: An isolated zone receives the blocks afterwards
    Given gateways and 24 servers with callers
    When a zone is isolated and a request is blocked in the others
    And the partitions are healed
    Then every gateway refuses the request 2 seconds later

  Scenario: Servers that crash on both sides of a partition add up
    Two crash in the connected zones, one in the isolated zone.
    Given gateways and 24 servers with callers
    When a zone is isolated and a request crashes 1 server there and 2 elsewhere
    And the partitions are healed
    Then every gateway refuses the request 2 seconds later

  Scenario: Crashes while no coordinator runs are reported later
    Gateways keep lost runs until there is a coordinator to report them to.
    Given gateways and 24 servers with callers
    When all coordinators are stopped for 4 seconds and a request crashes 3 servers
    Then every gateway refuses the request 4 seconds later

  Scenario: A live server is probed once for each run that it lost
    Gateways report a lost run twice, as the first message may be lost, and
    report all of them to a new home coordinator. Each probe takes the server
    some time.
    Given gateways and 24 servers with callers
    When a connection to a live head is reset in the middle of a response
    Then that head is probed once
