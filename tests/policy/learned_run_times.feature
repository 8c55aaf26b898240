Feature: Run times are learned from what tasks take

  Load: callers' estimates are off by up to nine tenths, run times of steps
  vary from image to image and within each, and siblings differ by 15 %. The
  earlier decision, the caller's estimate, is the baseline.

  Scenario Outline: estimates for tasks <stage> are nearer than their callers'
    Given 300 steps of 6 images, each of which <stage>
    Then the error of the learned figures is at most <share> of the callers'
    And no more tasks than by the callers' figures would count as stuck

    Examples: the error of the callers' estimates is the whole
      | stage                          | share |
      | has not started                | 0.65  |
      | has done a tenth of each task  | 0.05  |
      | has done one of its tasks      | 0.12  |
      | has done half of its tasks     | 0.05  |

  Scenario: the stated spread is as large as the errors
    Given 300 steps of 6 images, each of which has not started
    Then between 55 % and 85 % of the run times are within the stated spread

  Scenario: a slow worker does not raise the estimate for its siblings
    Given a step of 20 tasks of 3 s, 2 of which run at a quarter of the speed
    When each of its tasks does a tenth of its work 5 times
    Then its run time is estimated within 15 % of 3 s

  Scenario: a step that takes far longer than its caller says is believed
    Given a step of 20 tasks of 40 s, 2 of which run at a quarter of the speed
    When each of its tasks does a tenth of its work 2 times
    Then its run time is estimated within 15 % of 40 s

  Scenario: images whose run times change are learned again
    Given 200 steps of 1 images, each of which has done half of its tasks
    When the run times of later steps are three times as long
    Then after 80 more steps the next one is estimated within 40 %

  Scenario: old steps give way to new ones, images and queues stay
    Given 700 steps of 6 images, each of which has done one of its tasks
    Then 500 rows are held, among them all images and the queue
    And they take at most 25 kB in the store

  Scenario: another process goes on from the rows
    Given 300 steps of 6 images, each of which has done half of its tasks
    When another process that has observed one step restores the rows
    Then both estimate all steps alike, but for that one

  Scenario: rows that cannot be reckoned with are left out
    Given a stored row of infinite weight
    When another process that has observed one step restores the rows
    Then its estimates are finite

  Scenario: nothing observed means the caller's estimate
    Given a step of 20 tasks of 3 s, 2 of which run at a quarter of the speed
    Then its estimate is the caller's, with a spread of 0.9 and no samples
