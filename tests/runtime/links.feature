Feature: Connections between the system's processes

  Scenario: A connection that silently loses all messages is replaced
    A middlebox between two processes drops the state of a connection: what is
    sent on it is lost without an error, while new connections work. As no
    acknowledgement arrives in time, the sender opens a new connection.
    Given a peer that ignores all data on its first connection
    When messages are sent to the peer until one arrives
    Then the messages arrive over a second connection

  Scenario: Messages for an unreachable peer use bounded memory
    A node is unreachable for long while messages to it are queued. Only the
    newest messages are kept, up to a limit; the protocols above resend dropped
    messages.
    When 5000 messages are sent to an unreachable peer
    Then at most 2000 of them are queued
