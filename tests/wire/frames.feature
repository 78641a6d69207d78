Feature: Frames and messages between processes

  Scenario: Whatever comes on a connection, the reader gives frames or an error
    Bytes come in any pieces, damaged or not. The reader raises its own error
    only, holds at most one frame, and gives back exactly what was packed.
    Then 300 random streams are read as they were packed, or refused

  Scenario: A damaged message is an error and nothing else
    Any bytes are given to the decoder, and real messages with bytes changed,
    cut off or added. It gives a message or an error; it never raises.
    Then 500 random and 500 damaged messages are decoded or refused

  Scenario: A length that is too large is refused before its bytes come
    A length of 4 GB would fill the memory if its bytes were waited for.
    Then a frame that says it has 4294967295 bytes is refused at once

  Scenario: A message that ends early is refused, and the process goes on
    A message of many servers has several segments. Cut in a later one, it is
    read as far as anybody asks; the rest is missed when the reader is freed,
    in a place where an error ends the process.
    Then a message of 200 servers is refused wherever it is cut

  Scenario: Every message type survives the way there and back
    Then each message type with drawn contents is the same after the codec

  Scenario: The committed schema is the one that the classes make
    The schema is committed so that no generator runs on the machines. One
    that was not made anew after a change of a class would lose fields.
    Then the committed schema equals what the classes make
