Feature: Connections between the system's processes

  Scenario: A connection that went silent in one direction is replaced
    Something between two processes has lost track of a connection: what is
    sent vanishes without any error, while new connections work. Nothing is
    acknowledged, so the sender opens a new one within the time for that.
    Given a peer whose first connection swallows everything
    When messages are sent to it for as long as it takes
    Then they arrive over a second connection

  Scenario: A peer that is away does not fill the memory
    A node is gone for long while messages for it are made. The newest are
    kept up to a bound; what is dropped is repeated by the protocols above.
    When 5000 messages are sent to a peer that is away
    Then at most 2000 of them wait
