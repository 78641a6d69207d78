Feature: Frames and messages between processes

  Scenario: The frame reader returns frames or an error for any received bytes
    Bytes arrive in chunks of any size, damaged or not. The reader raises only
    its own error, buffers at most one frame, and returns exactly what was
    packed.
    Then 300 random streams are decoded as they were packed, or refused

  Scenario: A damaged message is reported as an error and never raises
    The decoder gets random bytes, and real messages with bytes changed, cut
    off or added. It returns a message or an error.
    Then 500 random and 500 damaged messages are decoded or refused

  Scenario: A length that is too large is refused before its bytes arrive
    A length of 4 GB would exhaust the memory if its bytes were buffered.
    Then a frame with a length of 4294967295 bytes is refused at once

  Scenario: A truncated message is refused, and the process keeps running
    A message of many servers has several segments. If a later one is truncated,
    all fields that are read may decode. The library then finds the damage only
    as its reader is freed, and such an error ends the process.
    Then a message of 200 servers is refused wherever it is truncated

  Scenario: Messages of every type are unchanged by encoding and decoding
    Then each message type with drawn contents is the same after the codec

  Scenario: The committed schema equals the one generated from the classes
    The schema is committed so that no generator runs on the VMs. If it was not
    regenerated after a change of a class, fields would be lost.
    Then the committed schema equals the generated one
