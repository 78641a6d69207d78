Feature: The way to a caller

  Scenario: Pieces for a caller that reads slowly keep their order
    A connection takes no more bytes. The task that sends waits with a piece in
    its hands; then the connection takes bytes again, and the next piece comes
    before the task has had its turn. Written at once it would overtake.
    Given a caller whose connection takes nothing after the first piece
    When two more pieces come, one before and one after it takes bytes again
    Then the caller gets all pieces in order

  Scenario: An answer that cannot be written ends alone
    A replica's header has a byte that the HTTP server refuses to write. Pieces
    are written within the turn of the reducer; an error raised there would end
    that turn, and other callers would miss their effects.
    Given a caller whose connection refuses the head of an answer
    When the answer comes
    Then nothing is raised, the answer ends broken, and the log tells why

  Scenario: A caller that comes while the program is loaded waits for it
    All gateways lose power and start again. Their ports are open at once, a
    second before the rest is loaded. A caller that connects meanwhile is
    answered then; turned away, it would spend its only other try in that time.
    Given a port that was opened before anything else
    When a request comes and the listener starts after it
    Then it is answered with status 200
