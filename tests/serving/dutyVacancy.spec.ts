import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { DutyVacancy } from '@plumstage/serving'

describe('duty vacancy', () => {
  it('leaves a vacant duty to the gateway that has run longest, which knows the usage that is not reported yet', () => {
    const vacancy = DutyVacancy.create(0)
    vacancy.setHeld(true, 100)
    assert.equal(vacancy.isOpenTo('senior', 5000), false)
    vacancy.setHeld(false, 6000)
    assert.equal(vacancy.isOpenTo('senior', 6000), true)
    assert.equal(vacancy.isOpenTo('junior', 6000), false)
  })

  it('is open to all after a while, when the senior gateways do not take the duty', () => {
    const vacancy = DutyVacancy.create(0)
    vacancy.setHeld(false, 1000)
    assert.equal(vacancy.isOpenTo('junior', 1499), false)
    assert.equal(vacancy.isOpenTo('junior', 1500), true)
  })
})
