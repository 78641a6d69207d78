Feature: Processing of requests at an entry

  Scenario: A stream continues on another replica when its replica dies
    A stream breaks after some tokens. The request continues on another replica
    from the next token, and the caller gets every token once, in order.
    Given a deployment in three zones
    When a member of a group that runs a stream dies
    And 20 s pass
    Then all requests have their complete response

  Scenario: A stream whose connection stalls is joined over a new one
    A network component between entry and server loses the state of a
    connection, without any error. The entry attaches to the stream over a new
    connection; it does not treat the server as dead and run the request again.
    Given a deployment in three zones
    When the connection of a running stream stalls
    And 20 s pass
    Then all requests have their complete response
    And the request ran on one server only

  Scenario: A server freezes for 30 s and then continues
    A server freezes in mid stream. The entry gets no frames over a new
    connection either, so it runs the request elsewhere. When the server
    continues, its late frames are dropped.
    Given a deployment in three zones
    When the head of a group that runs a stream freezes for 30 s
    And 60 s pass
    Then all requests have their complete response

  Scenario: Late, duplicate or foreign frames never reach a caller
    A server's frames arrive twice, late from a previous attempt, and once with
    the id of another request. The caller gets its own response only.
    Given a deployment in three zones
    When a stream gets duplicate, late and foreign frames
    And 20 s pass
    Then all requests have their complete response

  Scenario: A non-idempotent request that may have run is not retried
    The server dies while a work order runs on it. Whether the order completed
    is unknown, so it is not sent to another server, and the caller is informed.
    Given a deployment in three zones
    When the server of a non-idempotent request dies while it runs
    And 3 s pass
    Then the call is refused as may_have_run with code "outcome_unknown"

  Scenario: An outage of a third of the replicas does not multiply the traffic
    A third of the replicas fail under load. Extra attempts stay below one in
    ten requests, and service returns to normal afterwards.
    Given a deployment with 12 engines a zone in 3 domains and 3 replicas
    When one domain of each zone fails under traffic
    Then extra attempts are below 10 in 100 requests
    And no request is refused as blocked or because replicas failed

  Scenario: An entry stops gracefully
    An entry is asked to stop. It refuses new requests as not run, with a retry
    time, completes its pending requests, and then stops.
    Given a deployment in three zones
    When an entry with streams in flight is asked to stop
    And a request is sent to the stopping entry
    And 20 s pass
    Then all requests have their complete response
    And the request to the stopping entry was refused as not run
    And the entry has stopped

  Scenario: A request that cannot meet its deadline is refused at once
    A service is overloaded. Requests that would wait beyond their deadline
    are refused at once, as not run, with a retry time.
    Given a deployment in three zones
    When 1500 requests with a deadline of 2 s arrive at one entry within a second
    And 60 s pass
    Then each refused request was refused within its deadline as not run
    And each refusal has a retry time

  Scenario: Urgent requests are served first
    Ordinary requests fill the queue. An urgent one that arrives last starts
    before them, and an ordinary one is shed because the queue is full.
    Given a full queue of ordinary requests
    When an urgent request arrives
    Then it is the next one served, and an ordinary one was shed

  Scenario: A large workspace delays only itself
    One workspace sends 100 requests before another one sends 5. The workspaces
    are served in turns, so the small one does not wait for the large one.
    Given a queue with 100 requests of "large" and then 5 of "small"
    Then all 5 of "small" are among the first 11 served

  Scenario: The request of a caller that disconnects is cancelled
    A caller disconnects. Its request is cancelled on the server, so that no
    slot is used for a response that nobody reads.
    Given a deployment in three zones
    When a caller disconnects in mid stream
    And 1 s pass
    Then no server runs its request

  Scenario: A slow replica gets fewer requests until it recovers
    One replica becomes eight times slower without failing. It gets clearly
    fewer requests, but always some, so that its recovery is detected. When it
    is fast again, it gets its share again.
    Given a deployment in three zones
    When one replica of "buda-hall" is 8 times slower for 60 s under traffic
    Then it ran fewer than 60 requests per 100 of the other replica, and some
    When it is as fast as the others for 120 s
    Then it ran more than 60 requests per 100 of the other replica, and some

  Scenario: One submission does not crash server after server
    A request crashes each server that runs it after 0.1 s, before any response.
    If retries were limited by the retry budget alone, one submission would
    crash all replicas, with all other requests on them.
    Given a deployment with 12 engines a zone in 3 domains and 3 replicas
    When a request that crashes its servers is submitted once
    And 20 s pass
    Then it crashed 3 servers at most
    And it is refused as may_have_run with code "replicas_failed"

  Scenario: A request that crashed servers is not run again by its entry
    Its caller submits it again with the same body. An entry without a record of
    the previous submissions would run it again.
    Given a deployment with 12 engines a zone in 3 domains and 3 replicas
    When a request that crashes its servers is submitted 5 times to one entry
    Then it crashed 3 servers at most
    And it is refused as not_run with code "ends_servers"
    And another request gets a complete response

  Scenario: All entries refuse a request that crashed servers through some
    Its caller submits it to another entry each time. The control processes of
    all zones merge the crashes that the entries observed.
    Given a deployment with 12 engines a zone in 3 domains and 3 replicas
    When a request that crashes its servers is submitted to 5 entries in turn
    Then it crashed 4 servers at most
    And all entries refuse it as not_run with code "ends_servers"

  Scenario: Crashes through entries of several zones are added up
    A caller disconnects once a server has crashed, and submits the request in
    another zone. No entry observes more than one crash.
    Given a deployment with 12 engines a zone in 3 domains and 3 replicas
    When a request crashes one server through an entry of each zone
    Then all entries refuse it as not_run with code "ends_servers"

  Scenario: A restarted entry refuses the requests that the others refuse
    Given a deployment with 12 engines a zone in 3 domains and 3 replicas
    When a request that crashes its servers is submitted to 5 entries in turn
    And all entries and control processes of a zone restart
    And 10 s pass
    Then all entries refuse it as not_run with code "ends_servers"

  Scenario: An entry sends a server no requests during a pause that the server requested
    Given a deployment in three zones
    When one of the replicas refuses requests with a pause of 3 s, for 10 s
    And 20 s pass
    Then no entry sends it anything between 0.5 and 3 s after a refusal
    And all requests have their complete response

  Scenario: A request that all servers refuse for long is refused at once
    Given a deployment in three zones
    When all replicas refuse requests with a pause of 100 s, for 5 s
    Then each request is refused as not_run within 1 s, with a retry time
