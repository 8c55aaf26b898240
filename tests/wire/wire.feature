Feature: Messages are encoded whole, and bytes that are none are refused

  Scenario: every message type has a struct of the same fields
    Then each message type comes back equal from its bytes

  Scenario Outline: bytes that are no message are refused
    Then <bytes> are refused as malformed

    Examples:
      | bytes             |
      | no bytes          |
      | three bytes       |
      | a message cut off |
      | 64 bytes of ones  |
      | an unknown enum   |

  Scenario: any bytes are refused or read
    Then 500 byte strings from a fixed seed are read or refused

  Scenario: whatever the bytes, nothing but a refusal is raised
    Then 3000 mutated messages from a fixed seed are read or refused
