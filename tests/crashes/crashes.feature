Feature: Requests that end the servers which run them

  Scenario: A request that ends each replica that runs it is soon sent to none
    Callers saw a tenth of all requests fail in four waves of some seconds, as
    one replica after the other ended and took its other streams along. One
    caller sent the same body again and again, to any gateway. Each run ended
    its replica 0.1 s after it began; the gateway tried another one, and that
    ended as well. A gateway forgot the request with its final answer, and no
    other gateway heard of it, so each submission could end two more.
    The evidence: in the logs both tries of such a submission end as closed
    without an event, each together with all other requests of its head, at
    changing gateways; the servers that ended have this content in common.
    Given gateways with 24 replicas' servers and callers
    When a caller sends a request each 0.3 seconds that ends its replica
    Then from 1 second after the third one ended it reaches no replica
    And each later submission is refused at once as not run
    And other callers have nine in ten of their requests answered after that
