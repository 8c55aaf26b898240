Feature: Records of the store are decoded unchanged, or reported as corrupt

  Scenario: a record survives a round trip
    When a claim is packed
    Then unpacking it gives an equal claim

  Scenario Outline: decoding a corrupt record raises an error with its type
    When a claim is packed and <damage>
    Then unpacking it fails with an error that names the type Claim

    Examples:
      | damage          |
      | truncated       |
      | lacks its key   |
      | is another type |
